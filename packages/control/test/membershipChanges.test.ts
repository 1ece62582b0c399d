import type { Logger } from "roarr";
import t from "tap";
import type { Membership } from "@clementinemux/consensus/Membership";
import { MembershipChangeKind } from "@clementinemux/consensus/MembershipChangeKind";
import type { ReplicatedGroup } from "@clementinemux/control/ReplicatedGroup";
import { MembershipManager } from "@clementinemux/control/routes/MembershipManager";
import type { MembershipState } from "@clementinemux/control/routes/MembershipState";
import type { PeerTable } from "@clementinemux/control/routes/PeerTable";
import { chooseMembershipChange } from "@clementinemux/control/routes/chooseMembershipChange";

function member(address: string) {
  return { name: address, address };
}

function announce(address: string, isDurable = true) {
  return { member: member(address), isDurable };
}

function input(membership: Membership, fields: Partial<MembershipState> = {}): MembershipState {
  return {
    membership,
    announced: new Map(),
    silenceMs: new Map(),
    matchIndexes: new Map(),
    commitIndex: 100,
    targetVoters: 3,
    ...fields,
  };
}

const voters = { a: member("A"), b: member("B"), c: member("C") };

t.test("a wiped replica returns as a learner and replaces its former id", (t) => {
  const announced = new Map([["c2", announce("C")]]);
  const silenceMs = new Map([["c", 900]]);
  t.match(chooseMembershipChange(input({ voters, learners: {} }, { announced, silenceMs })), {
    kind: MembershipChangeKind.AddLearner,
    replicaId: "c2",
  });
  const learners = { c2: member("C") };
  const behind = { announced, silenceMs, matchIndexes: new Map([["c2", 5]]) };
  t.equal(chooseMembershipChange(input({ voters, learners }, behind)), null, "not before it has caught up");
  const ready = { announced, silenceMs, matchIndexes: new Map([["c2", 100]]) };
  t.match(chooseMembershipChange(input({ voters, learners }, ready)), {
    kind: MembershipChangeKind.Remove,
    replicaId: "c",
  });
  const rest = { a: voters.a, b: voters.b };
  t.match(chooseMembershipChange(input({ voters: rest, learners }, ready)), {
    kind: MembershipChangeKind.Promote,
    replicaId: "c2",
  });
  t.end();
});

t.test("a replica at a new address replaces only a silent voter", (t) => {
  const learners = { d: member("D") };
  const ready = { announced: new Map([["d", announce("D")]]), matchIndexes: new Map([["d", 100]]) };
  t.equal(chooseMembershipChange(input({ voters, learners }, ready)), null);
  const silent = { ...ready, silenceMs: new Map([["b", 2500]]) };
  t.match(chooseMembershipChange(input({ voters, learners }, silent)), {
    kind: MembershipChangeKind.Remove,
    replicaId: "b",
  });
  t.end();
});

t.test("no voter is removed while another one is silent too", (t) => {
  const learners = { c2: member("C") };
  const ready = {
    announced: new Map([["c2", announce("C")]]),
    matchIndexes: new Map([["c2", 100]]),
    silenceMs: new Map([
      ["b", 2500],
      ["c", 2500],
    ]),
  };
  t.equal(
    chooseMembershipChange(input({ voters, learners }, ready)),
    null,
    "guards against a group that removes itself below a majority",
  );
  t.end();
});

t.test("a silent voter stays when there is no replacement", (t) => {
  const silenceMs = new Map([["c", 60_000]]);
  t.equal(chooseMembershipChange(input({ voters, learners: {} }, { silenceMs })), null);
  t.end();
});

// Guards against an acknowledged change that is stored only by replicas whose files are lost with their
// process.
t.test("a replica without a disk is added as a learner and never promoted", (t) => {
  const announced = new Map([["d", announce("D", false)]]);
  t.match(chooseMembershipChange(input({ voters, learners: {} }, { announced })), {
    kind: MembershipChangeKind.AddLearner,
    replicaId: "d",
  });
  const learners = { d: member("D") };
  const ready = { announced, matchIndexes: new Map([["d", 100]]) };
  t.equal(chooseMembershipChange(input({ voters, learners }, { ...ready, targetVoters: 5 })), null);
  const silent = { ...ready, silenceMs: new Map([["b", 2500]]) };
  t.equal(chooseMembershipChange(input({ voters, learners }, silent)), null, "it replaces no silent voter");
  t.end();
});

// Guards against a deployment with too few disks for the losses that it promises to survive, which nobody notices
// before the losses.
t.test("too few voters are reported once, and again after they were complete", async (t) => {
  const warnings: unknown[] = [];
  const logger = { warn: (context: unknown) => warnings.push(context), info: () => undefined };
  const state = { voters: voters as Record<string, { address: string }> };
  const group = {
    hasLease: true,
    core: { id: "a", commitIndex: 100, getSilenceMs: () => 0, getMatchIndex: () => 100 },
    get membership() {
      return { voters: state.voters, learners: {} };
    },
  };
  const manager = new MembershipManager({
    group: group as unknown as ReplicatedGroup,
    peers: { listAnnounced: () => new Map() } as unknown as PeerTable,
    clock: { monotonicMs: () => 0, wallMs: () => 0 },
    logger: logger as unknown as Logger,
    targetVoters: 5,
  });
  await manager.step();
  await manager.step();
  t.strictSame(warnings, [{ voters: 3, targetVoters: 5 }]);
  state.voters = { ...voters, d: member("D"), e: member("E") };
  await manager.step();
  state.voters = voters;
  await manager.step();
  t.equal(warnings.length, 2);
});
