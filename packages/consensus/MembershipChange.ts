import type { Member } from "./Member";
import type { MembershipChangeKind } from "./MembershipChangeKind";

/** Change of one member of a Raft group. */
export type MembershipChange =
  | {
      readonly kind: MembershipChangeKind.AddLearner;
      readonly replicaId: string;
      readonly member: Member;
    }
  | { readonly kind: MembershipChangeKind.Promote; readonly replicaId: string }
  | { readonly kind: MembershipChangeKind.Remove; readonly replicaId: string };
