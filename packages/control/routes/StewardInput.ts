import type { Membership } from "@clementinemux/consensus/Membership";
import type { AnnouncedReplica } from "./AnnouncedReplica";

/** What the leader knows of the replicas when it considers a change of the membership. */
export interface StewardInput {
  readonly membership: Membership;
  /** Replicas that have announced themselves within the last seconds, by id. */
  readonly announced: ReadonlyMap<string, AnnouncedReplica>;
  /** Time since a member was last heard, in ms, by id; the leader itself is missing. */
  readonly silenceMs: ReadonlyMap<string, number>;
  /** Entries that a member has confirmed, by id. */
  readonly matchIndexes: ReadonlyMap<string, number>;
  readonly commitIndex: number;
  readonly targetVoters: number;
}
