import { Left, Right } from "purify-ts/Either";
import type { Either } from "purify-ts/Either";
import type { Membership } from "./Membership";
import type { MembershipChange } from "./MembershipChange";
import { MembershipChangeKind } from "./MembershipChangeKind";
import { ProposeRefusal } from "./ProposeRefusal";

/** Applies a change of at most one voter, so that majorities before and after it overlap. */
export function changeMembership(
  before: Membership,
  change: MembershipChange,
): Either<ProposeRefusal, Membership> {
  const { replicaId } = change;
  const { [replicaId]: voter, ...voters } = before.voters;
  const { [replicaId]: learner, ...learners } = before.learners;
  if (change.kind === MembershipChangeKind.AddLearner) {
    return voter === undefined
      ? Right({ voters, learners: { ...learners, [replicaId]: change.member } })
      : Left(ProposeRefusal.UnknownMember);
  }
  if (change.kind === MembershipChangeKind.Promote) {
    return learner === undefined
      ? Left(ProposeRefusal.UnknownMember)
      : Right({ voters: { ...voters, [replicaId]: learner }, learners });
  }
  if (voter === undefined && learner === undefined) {
    return Left(ProposeRefusal.UnknownMember);
  }
  return Object.keys(voters).length === 0 ? Left(ProposeRefusal.LastVoter) : Right({ voters, learners });
}
