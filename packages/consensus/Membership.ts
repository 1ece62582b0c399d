import type { Member } from "./Member";

/** Members of a Raft group by replica id. Only voters count towards a majority. */
export interface Membership {
  readonly voters: Readonly<Record<string, Member>>;
  readonly learners: Readonly<Record<string, Member>>;
}
