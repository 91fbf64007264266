//! The cases.

use super::{Duration, Instant, Link, Scene, thread};

pub fn play(case: &str, binary: &str, record: &str) -> i32 {
    let site = match case {
        "idle-clock" => &super::LARGE,
        "flap" => &super::RINGDESK,
        _ => &super::PLAN,
    };
    let scene = match Scene::open(case, binary, site) {
        Ok(scene) => scene,
        Err(reason) => {
            eprintln!("cannot run: {reason}");
            return 2;
        }
    };
    let outcome = match case {
        "many-ends" => many_ends(&scene),
        "idle-clock" => idle_clock(&scene),
        "leave" => leave(&scene),
        "flap" => flap(&scene),
        "long-job" => long_job(&scene),
        "guarantee" => guarantee(&scene),
        _ => Err(format!("no case `{case}`")),
    };
    scene.finish(record, outcome)
}

/// Tasks of a wide step end while the group has no leader.
fn many_ends(scene: &Scene) -> Result<(), String> {
    const TASKS: usize = 1200;
    for number in 0..8 {
        scene.add_minion(number, 1.0, 32_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        &format!(
            "{{\"spec\":\"6000 0\",\"steps\":[{{\"count\":{TASKS},\"cpu\":25,\"memMb\":16,\"estimateMs\":6000}}]}}"
        ),
    )?;
    let starts = || scene.world.starts.load(super::Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= TASKS)?;
    scene.world.record.add(format!("{TASKS} tasks are at work"));
    let is_near = || {
        let book = scene.world.book();
        let first = book.runs.first().map_or(0, |run| run.begun_ms);
        scene.world.record.ms() >= first + 5_950
    };
    scene.wait_for("the work", Duration::from_secs(10), is_near)?;
    if scene.trouble {
        let leader = scene.leader().ok_or("no leader is known")?;
        scene.system.kill(&format!("control-{leader}"));
        scene
            .world
            .record
            .add(format!("control-{leader}, which leads, is killed"));
        thread::sleep(Duration::from_millis(3500));
        scene
            .system
            .start("control", leader, false)
            .map_err(|e| e.to_string())?;
        scene.world.record.add(format!("control-{leader} starts again"));
    }
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until && scene.show(job) != "completed" {
        thread::sleep(Duration::from_millis(500));
    }
    scene.world.record.add(format!("job {job} is {}", scene.show(job)));
    thread::sleep(Duration::from_secs(2));
    scene.world.judge_done();
    Ok(())
}

/// Minions that were idle for a while and whose clocks are slow are cut off right after they were given work.
fn idle_clock(scene: &Scene) -> Result<(), String> {
    const MINIONS: usize = 420;
    for number in 0..MINIONS {
        scene.add_minion(number, 0.98, 64_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    scene
        .world
        .record
        .add(format!("{MINIONS} minions are met; they stay idle for 60 s"));
    thread::sleep(Duration::from_secs(60));
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        "{\"spec\":\"16000 0\",\"steps\":[{\"count\":20,\"cpu\":32000,\"memMb\":1024,\"gpu\":4,\"estimateMs\":16000}]}",
    )?;
    let starts = || scene.world.starts.load(super::Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= 20)?;
    thread::sleep(Duration::from_millis(500));
    let minions = scene.minions.lock().unwrap().clone();
    let busy: Vec<_> = minions
        .iter()
        .filter(|minion| !minion.state().runs.is_empty())
        .cloned()
        .collect();
    if scene.trouble {
        for minion in &busy {
            minion.state().link = Link::Cut;
        }
        scene
            .world
            .record
            .add(format!("{} minions with work are cut off and run on", busy.len()));
        thread::sleep(Duration::from_millis(5500));
        for minion in &busy {
            minion.state().link = Link::Sound;
        }
        scene.world.record.add("the cut is over");
    } else {
        thread::sleep(Duration::from_secs(10));
    }
    thread::sleep(Duration::from_secs(9));
    Ok(())
}

/// A minion leaves while its link is cut in one direction.
fn leave(scene: &Scene) -> Result<(), String> {
    for number in 0..16 {
        scene.add_minion(number, 1.0, 32_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        "{\"spec\":\"lasting\",\"steps\":[{\"count\":2,\"cpu\":8000,\"memMb\":1024,\"gpu\":2,\"longRunning\":true}]}",
    )?;
    let starts = || scene.world.starts.load(super::Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= 2)?;
    thread::sleep(Duration::from_millis(500));
    let minions = scene.minions.lock().unwrap().clone();
    let leaving = minions
        .iter()
        .find(|minion| !minion.state().runs.is_empty())
        .cloned()
        .ok_or("no minion has work")?;
    if !leaving.drain(3000) {
        return Err("`draining` was not acknowledged".into());
    }
    thread::sleep(Duration::from_millis(3500));
    let connection = leaving.connect().ok_or("no connection to a node")?;
    thread::sleep(Duration::from_millis(500));
    if scene.trouble {
        leaving.state().link = Link::OneWay;
        scene
            .world
            .record
            .add(format!("nothing reaches {} any more; what it sends arrives", leaving.id));
    }
    thread::sleep(Duration::from_millis(500));
    leaving.leave(connection, Duration::from_secs(3));
    thread::sleep(Duration::from_secs(3));
    Ok(())
}

/// The only minion with room goes down and up by turns.
fn flap(scene: &Scene) -> Result<(), String> {
    const MINIONS: usize = 20;
    for number in 0..MINIONS {
        scene.add_minion(number, 1.0, 32_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    scene.submit(
        "00000000000000aa",
        &format!(
            "{{\"spec\":\"100000 0\",\"steps\":[{{\"count\":{},\"cpu\":32000,\"memMb\":1024,\"gpu\":8,\"estimateMs\":100000}}]}}",
            MINIONS - 1
        ),
    )?;
    let starts = || scene.world.starts.load(super::Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= MINIONS - 1)?;
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        "{\"spec\":\"100000 0\",\"steps\":[{\"count\":1,\"cpu\":32000,\"memMb\":1024,\"gpu\":8,\"estimateMs\":100000}]}",
    )?;
    scene.wait_for("the start", Duration::from_secs(5), || starts() >= MINIONS)?;
    let minions = scene.minions.lock().unwrap().clone();
    let is_of_job = |key: &super::Key| key.0.starts_with(job);
    let minion = minions
        .iter()
        .find(|minion| minion.state().runs.keys().any(is_of_job))
        .cloned()
        .ok_or("the job has no run")?;
    thread::sleep(Duration::from_millis(500));
    if scene.trouble {
        let until = Instant::now() + Duration::from_millis(5200);
        while Instant::now() < until {
            minion.crash();
            thread::sleep(Duration::from_millis(550));
            minion.rise();
            thread::sleep(Duration::from_millis(550));
        }
    } else {
        thread::sleep(Duration::from_millis(5500));
    }
    thread::sleep(Duration::from_secs(5));
    let state = scene.show(job);
    scene.world.record.add(format!("GET of job {job}: {state}"));
    let has_failed = scene
        .world
        .book()
        .runs
        .iter()
        .any(|run| matches!(run.ended, Some((_, "failed"))));
    if state == "failed" && !has_failed {
        let line = format!("LOST: job {job} is shown as `failed`; no run of it has ended `failed`");
        scene.world.record.add(&line);
        scene.world.book().broken.push(line);
    }
    Ok(())
}

/// A task takes far longer than its estimate says.
fn long_job(scene: &Scene) -> Result<(), String> {
    const MINIONS: usize = 16;
    for number in 0..MINIONS {
        let kind = if number < 2 { "b" } else { "a" };
        scene.add_minion_of_kind(number, 1.0, 32_000, kind)?;
    }
    scene.tick_forever();
    scene.settle()?;
    let job = "5c0e7a21d94b36f8";
    let estimate = if scene.trouble { 15_000 } else { 600_000 };
    let body = format!(
        "{{\"spec\":\"600000 0\",\"steps\":[{{\"count\":1,\"cpu\":8000,\"memMb\":1024,\"gpu\":4,\"estimateMs\":{estimate},\"constraints\":\"b\"}}]}}"
    );
    scene.submit(job, &body)?;
    scene.world.record.add("the task takes 600 s; no more requests follow");
    // `finish_s`
    thread::sleep(Duration::from_secs(14));
    scene.world.record.add(format!("GET of job {job}: {}", scene.show(job)));
    let is_running = || {
        let book = scene.world.book();
        book.runs.iter().any(|run| run.ended.is_none())
    };
    let until = Instant::now() + Duration::from_secs(60);
    let mut idle_since = None;
    while Instant::now() < until {
        if is_running() {
            idle_since = None;
        } else {
            let since = *idle_since.get_or_insert_with(Instant::now);
            if since.elapsed() >= Duration::from_secs(3) && scene.world.book().broken.is_empty() {
                let line = format!("LOST: nothing of job {job} has run for 3 s; {MINIONS} minions are idle, 2 of them with the label");
                scene.world.record.add(&line);
                scene.world.book().broken.push(line);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    scene.world.record.add(format!("GET of job {job}: {}", scene.show(job)));
    Ok(())
}

/// A client needs its guaranteed accelerators while tasks of another client that last hold them.
fn guarantee(scene: &Scene) -> Result<(), String> {
    const MINIONS: usize = 16;
    const TASKS: usize = 3;
    for number in 0..MINIONS {
        scene.add_minion(number, 1.0, 32_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    // Without the disruption the same job ends by itself.
    let (spec, kind) = match scene.trouble {
        true => ("lasting", "\"longRunning\":true"),
        false => ("300000 0", "\"estimateMs\":300000"),
    };
    scene.submit(
        "00000000000000aa",
        &format!(
            "{{\"spec\":\"{spec}\",\"steps\":[{{\"count\":{MINIONS},\"cpu\":8000,\"memMb\":1024,\"gpu\":8,{kind}}}]}}"
        ),
    )?;
    let starts = || scene.world.starts.load(super::Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= MINIONS)?;
    thread::sleep(Duration::from_secs(3));
    let job = "5c0e7a21d94b36f8";
    scene.submit_to(
        super::URGENT,
        super::GUARANTEED_KEY,
        job,
        &format!(
            "{{\"spec\":\"4000 0\",\"steps\":[{{\"count\":{TASKS},\"cpu\":3700,\"memMb\":9800,\"gpu\":8,\"estimateMs\":4000,\"gang\":true}}]}}"
        ),
    )?;
    let accepted = Instant::now();
    let begun = || {
        let book = scene.world.book();
        let runs = book.runs.iter().filter(|run| run.key.0.starts_with(job));
        runs.count()
    };
    let mut is_late = false;
    while accepted.elapsed() < Duration::from_secs(40) && begun() < TASKS {
        // `reclaimMs`
        if accepted.elapsed() > Duration::from_millis(2900) && !is_late {
            is_late = true;
            let line = format!(
                "RECLAIM: {} of {TASKS} tasks of job {job} have begun 2.9 s after its acknowledgement; it needs 24 of the 72 accelerators that are guaranteed",
                begun()
            );
            scene.world.record.add(&line);
            scene.world.book().broken.push(line);
        }
        thread::sleep(Duration::from_millis(5));
    }
    scene.world.record.add(format!(
        "{} of {TASKS} tasks have begun {} ms after the acknowledgement; GET: {}",
        begun(),
        accepted.elapsed().as_millis(),
        scene.show_in(super::URGENT, super::GUARANTEED_KEY, job)
    ));
    Ok(())
}
