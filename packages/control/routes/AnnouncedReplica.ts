import type { Member } from "@clementinemux/consensus/Member";

/** A replica that has announced itself to its peers. */
export interface AnnouncedReplica {
  readonly member: Member;
  /** Whether its files survive a restart; a replica without a disk may be a learner, but must not vote. */
  readonly isDurable: boolean;
}
