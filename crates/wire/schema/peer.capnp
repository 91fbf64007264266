@0xd6f0a1c7b2e49358;

# The interface that every instance offers to the other instances of its deployment.
interface Peer {
  # Hands over consensus messages of one group. Lost messages are sent again by the sender's state machine.
  deliver @0 (group :Text, sender :UInt64, messages :List(Data)) -> ();

  # Proposes a command to the leader of a group.
  propose @1 (group :Text, command :Data) -> (verdict :Verdict);

  # Reads from the leader of a group, linearizably.
  query @2 (group :Text, query :Data) -> (verdict :Verdict);

  # Asks the leader of the group `config` for newer configuration and a lease on it.
  follow @3 (instance :UInt64, incarnation :UInt64, applied :UInt64) -> (update :Update);

  # Tells the leader of a region group what an instance heard and needs since its last report.
  report @4 (group :Text, instance :UInt64, report :Data) -> (verdict :Verdict);

  # Exchanges changed membership entries between instances.
  gossip @5 (instance :UInt64, entries :Data) -> (entries :Data);
}

# What became of a proposal, query or report.
struct Verdict {
  union {
    # The encoded answer of the group's state machine.
    answer @0 :Data;
    # Not executed; the id of the instance that leads the group, 0 if not known.
    notLeader @1 :UInt64;
    # Not executed, with the reason.
    notRun @2 :Text;
    # It is not known whether the command is executed, with the reason.
    unknown @3 :Text;
  }
}

# Answer of the config leader to a follower.
struct Update {
  union {
    # The lease in milliseconds and, if the follower's number is older, the configuration as JSON.
    current :group {
      leaseMs @0 :UInt32;
      config @1 :Data;
      # Whether an operator drains the follower.
      drained @3 :Bool;
    }
    # The id of the instance that leads, 0 if not known.
    notLeader @2 :UInt64;
  }
}
