import type { Membership } from "@clementinemux/consensus/Membership";
import type { AnnouncedReplica } from "./AnnouncedReplica";

/** State of the replicas from which the leader chooses a membership change. */
export interface MembershipState {
  readonly membership: Membership;
  /** Replicas that have announced themselves recently, by id. */
  readonly announced: ReadonlyMap<string, AnnouncedReplica>;
  /** Time since the last message of a member, in ms, by id; without the leader itself. */
  readonly silenceMs: ReadonlyMap<string, number>;
  /** Highest log index that a member has confirmed, by id. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  readonly commitIndex: number;
  readonly targetVoters: number;
}
