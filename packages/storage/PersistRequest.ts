import type { RaftAction } from "@clementinemux/consensus/RaftAction";
import type { RaftActionKind } from "@clementinemux/consensus/RaftActionKind";

/** State that the Raft core requests to be stored. */
export type PersistRequest = Extract<RaftAction, { kind: RaftActionKind.Persist }>;
