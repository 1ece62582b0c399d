interface FreedCandidate {
  readonly load: number;
  readonly slots: number;
  /** Whether this gateway has freed a slot there since its last report. */
  readonly hasFreed: boolean;
}

/** Share of free slots below which slots are scarce, so that gateways are likely to choose the same one. */
const scarceShare = 0.3;
/** A target with a larger share of free slots has just started, and is used like any other. */
const emptyShare = 0.8;

/**
 * Candidates for a choice by free slots: while slots are scarce, targets at which this gateway itself has just freed a
 * slot. No other gateway sees that slot yet, so no two take it.
 */
export function selectFreed<Candidate extends FreedCandidate>(
  candidates: readonly Candidate[],
): readonly Candidate[] {
  const slots = candidates.reduce((sum, candidate) => sum + candidate.slots, 0);
  const free = candidates.reduce((sum, candidate) => sum + countFree(candidate), 0);
  const hasEmpty = candidates.some((candidate) => countFree(candidate) > candidate.slots * emptyShare);
  const freed = candidates.filter((candidate) => candidate.hasFreed && countFree(candidate) > 0);
  return freed.length > 0 && !hasEmpty && free < slots * scarceShare ? freed : candidates;
}

function countFree({ load, slots }: FreedCandidate): number {
  return Math.max(0, slots - load);
}
