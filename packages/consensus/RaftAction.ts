import type { LogEntry } from "./LogEntry";
import type { LogSnapshot } from "./LogSnapshot";
import type { RaftActionKind } from "./RaftActionKind";
import type { RaftMessage } from "./RaftMessage";
import type { RaftRole } from "./RaftRole";

/** Action that the Raft core returns to its caller. Actions are carried out in the given order. */
export type RaftAction =
  | {
      readonly kind: RaftActionKind.Persist;
      /** Passed to `persisted` after the sync. Persists complete in order. */
      readonly id: number;
      /** Term and vote to store; null when unchanged. */
      readonly vote: { readonly term: number; readonly vote: string | null } | null;
      /** Replaces the log up to its index; null when there is none. */
      readonly snapshot: LogSnapshot | null;
      /** Replaces every stored entry from the first one's index on. */
      readonly entries: readonly LogEntry[];
    }
  | { readonly kind: RaftActionKind.Send; readonly to: string; readonly message: RaftMessage }
  | { readonly kind: RaftActionKind.Apply; readonly entries: readonly LogEntry[] }
  | { readonly kind: RaftActionKind.Restore; readonly snapshot: LogSnapshot }
  | { readonly kind: RaftActionKind.Role; readonly role: RaftRole; readonly term: number };
