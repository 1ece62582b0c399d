import type { RaftAction } from "@clementinemux/consensus/RaftAction";
import type { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";

/** What the log core asks to be stored. */
export type PersistRequest = Extract<RaftAction, { kind: RaftActionKind.Persist }>;
