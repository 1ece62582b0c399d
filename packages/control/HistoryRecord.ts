import type { RevisionChange } from "@clementinemux/messages/RevisionChange";

/** An accepted change with its author and the leader's time when it was proposed. */
export interface HistoryRecord extends RevisionChange {
  readonly author: string;
  readonly atMs: number;
}
