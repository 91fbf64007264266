//! The cases.

use {
    crate::{
        minion::Link,
        scene::{GUARANTEED_KEY, Scene, URGENT},
        system::{LARGE, PLAN},
    },
    std::{
        sync::atomic::Ordering,
        thread,
        time::{Duration, Instant},
    },
};

pub fn play(case: &str, binary: &str, record: &str) -> i32 {
    let site = match case {
        "idle-clock" => &LARGE,
        _ => &PLAN,
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
        "long-job" => long_job(&scene),
        "guarantee" => guarantee(&scene),
        "ends-behind-cuts" => ends_behind_cuts(&scene),
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
    let starts = || scene.world.starts.load(Ordering::Relaxed);
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
        scene
            .world
            .record
            .add(format!("control-{leader} starts again"));
    }
    let until = Instant::now() + Duration::from_secs(25);
    while Instant::now() < until && scene.show(job) != "completed" {
        thread::sleep(Duration::from_millis(500));
    }
    scene
        .world
        .record
        .add(format!("job {job} is {}", scene.show(job)));
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
    scene.world.record.add(format!(
        "{MINIONS} minions are met; they stay idle for 60 s"
    ));
    thread::sleep(Duration::from_secs(60));
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        "{\"spec\":\"16000 0\",\"steps\":[{\"count\":20,\"cpu\":32000,\"memMb\":1024,\"gpu\":4,\"estimateMs\":16000}]}",
    )?;
    let starts = || scene.world.starts.load(Ordering::Relaxed);
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
        scene.world.record.add(format!(
            "{} minions with work are cut off and run on",
            busy.len()
        ));
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
    scene
        .world
        .record
        .add("the task takes 600 s; no more requests follow");
    // `finish_s`
    thread::sleep(Duration::from_secs(14));
    scene
        .world
        .record
        .add(format!("GET of job {job}: {}", scene.show(job)));
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
                let line = format!(
                    "LOST: nothing of job {job} has run for 3 s; {MINIONS} minions are idle, 2 of them with the label"
                );
                scene.world.record.add(&line);
                scene.world.book().broken.push(line);
            }
        }
        thread::sleep(Duration::from_millis(20));
    }
    scene
        .world
        .record
        .add(format!("GET of job {job}: {}", scene.show(job)));
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
    let starts = || scene.world.starts.load(Ordering::Relaxed);
    scene.wait_for("all starts", Duration::from_secs(5), || starts() >= MINIONS)?;
    thread::sleep(Duration::from_secs(3));
    let job = "5c0e7a21d94b36f8";
    scene.submit_to(
        URGENT,
        GUARANTEED_KEY,
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
        scene.show_in(URGENT, GUARANTEED_KEY, job)
    ));
    Ok(())
}

/// Minions are cut off, and crash behind the cut after the run there has ended.
fn ends_behind_cuts(scene: &Scene) -> Result<(), String> {
    const MINIONS: usize = 16;
    const CUTS: usize = 5;
    for number in 0..MINIONS {
        scene.add_minion(number, 1.0, 32_000)?;
    }
    scene.tick_forever();
    scene.settle()?;
    let job = "5c0e7a21d94b36f8";
    scene.submit(
        job,
        "{\"spec\":\"1500 0\",\"steps\":[{\"count\":1,\"cpu\":3700,\"memMb\":9800,\"gpu\":1,\"estimateMs\":1500}]}",
    )?;
    let starts = || scene.world.starts.load(Ordering::Relaxed);
    let minions = scene.minions.lock().unwrap().clone();
    let mut has_crashed_under_it = false;
    for cut in 1..=CUTS {
        if !scene.trouble {
            break;
        }
        let is_started = scene.wait_for("the start", Duration::from_secs(8), || starts() >= cut);
        if is_started.is_err() {
            scene.world.record.add("no further run has begun");
            break;
        }
        let minion = minions
            .iter()
            .find(|minion| !minion.state().runs.is_empty())
            .cloned()
            .ok_or("the job has no run")?;
        thread::sleep(Duration::from_millis(300));
        minion.state().link = Link::Cut;
        scene.world.record.add(format!("{} is cut off", minion.id));
        thread::sleep(Duration::from_millis(2000));
        has_crashed_under_it |= !minion.state().runs.is_empty();
        minion.crash();
        thread::sleep(Duration::from_millis(100));
        minion.state().link = Link::Sound;
        minion.rise();
        scene
            .world
            .record
            .add(format!("the cut of {} is over", minion.id));
    }
    thread::sleep(Duration::from_secs(8));
    let state = scene.show(job);
    scene.world.record.add(format!("GET of job {job}: {state}"));
    let has_failed = {
        let book = scene.world.book();
        book.runs
            .iter()
            .any(|run| matches!(run.ended, Some((_, "failed"))))
    };
    if has_crashed_under_it {
        return Err("a minion crashed while the task was at work there".into());
    }
    if state == "failed" && !has_failed {
        let line = format!(
            "LOST: job {job} is shown as `failed`; no run of it has ended `failed`, and no minion has crashed under it"
        );
        scene.world.record.add(&line);
        scene.world.book().broken.push(line);
    }
    Ok(())
}
