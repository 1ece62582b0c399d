import type { MembershipChange } from "@clementinemux/consensus/MembershipChange";
import { MembershipChangeKind } from "@clementinemux/consensus/MembershipChangeKind";
import type { MembershipState } from "./MembershipState";

/** A voter that was silent for this long may be replaced by a learner that has caught up. */
const silentVoterMs = 2000;
/** A learner within this many entries of the commit index counts as caught up. */
const maxLagEntries = 16;

/**
 * Chooses the next membership change that replaces lost replicas, or null. A replica whose disk is lost
 * returns under a new id: it joins as a learner, and replaces the voter that had its address. A voter is
 * removed only when a learner has caught up, or when there are more voters than desired. A replica without a
 * disk stays a learner.
 */
export function chooseMembershipChange(input: MembershipState): MembershipChange | null {
  return (
    addUnknownReplica(input) ?? replaceVoter(input) ?? promoteMissingVoter(input) ?? removeDeadLearner(input)
  );
}

function addUnknownReplica({ membership, announced }: MembershipState): MembershipChange | null {
  for (const [replicaId, { member }] of announced) {
    if (!(replicaId in membership.voters) && !(replicaId in membership.learners)) {
      return { kind: MembershipChangeKind.AddLearner, replicaId, member };
    }
  }
  return null;
}

function replaceVoter(input: MembershipState): MembershipChange | null {
  const { membership, silenceMs, targetVoters } = input;
  const voters = Object.entries(membership.voters);
  const isSurplus = voters.length > targetVoters;
  for (const learnerId of listReadyLearners(input)) {
    const address = membership.learners[learnerId]?.address;
    const atSameAddress = voters.find(([, voter]) => voter.address === address);
    const silent = voters.find(([id]) => (silenceMs.get(id) ?? 0) > silentVoterMs);
    const replaced = atSameAddress ?? (voters.length >= targetVoters ? silent : undefined);
    if (replaced !== undefined && keepsMajority(input, replaced[0])) {
      return { kind: MembershipChangeKind.Remove, replicaId: replaced[0] };
    }
  }
  const silent = voters.find(([id]) => (silenceMs.get(id) ?? 0) > silentVoterMs);
  return isSurplus && silent !== undefined && keepsMajority(input, silent[0])
    ? { kind: MembershipChangeKind.Remove, replicaId: silent[0] }
    : null;
}

function promoteMissingVoter(input: MembershipState): MembershipChange | null {
  const { membership, targetVoters } = input;
  const [replicaId] = listReadyLearners(input);
  return replicaId !== undefined && Object.keys(membership.voters).length < targetVoters
    ? { kind: MembershipChangeKind.Promote, replicaId }
    : null;
}

function removeDeadLearner({ membership, announced }: MembershipState): MembershipChange | null {
  const announcedAddresses = new Set([...announced.values()].map(({ member }) => member.address));
  const dead = Object.entries(membership.learners).find(
    // Another id is announced from the same address: the disk of this learner is lost.
    ([id, { address }]) => !announced.has(id) && announcedAddresses.has(address),
  );
  return dead === undefined ? null : { kind: MembershipChangeKind.Remove, replicaId: dead[0] };
}

function listReadyLearners({ membership, announced, matchIndexes, commitIndex }: MembershipState): string[] {
  return Object.keys(membership.learners).filter(
    (id) =>
      announced.get(id)?.isDurable === true && (matchIndexes.get(id) ?? 0) + maxLagEntries >= commitIndex,
  );
}

/** Whether a majority of the voters without `replicaId` is live. */
function keepsMajority({ membership, silenceMs }: MembershipState, replicaId: string): boolean {
  const remaining = Object.keys(membership.voters).filter((id) => id !== replicaId);
  const live = remaining.filter((id) => (silenceMs.get(id) ?? 0) <= silentVoterMs);
  return live.length * 2 > remaining.length;
}
