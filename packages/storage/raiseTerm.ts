import type { LogEntry } from "@clementinemux/consensus/LogEntry";
import type { LogSnapshot } from "@clementinemux/consensus/LogSnapshot";
import type { Identity } from "./Identity";

/** The identity of a replica whose vote was not synced together with its entries: it has not voted in the term of these. */
export function raiseTerm(
  identity: Identity,
  entries: readonly LogEntry[],
  snapshot: LogSnapshot | null,
): Identity {
  const storedTerm = entries.at(-1)?.term ?? snapshot?.term ?? 0;
  return storedTerm > identity.term ? { ...identity, term: storedTerm, vote: null } : identity;
}
