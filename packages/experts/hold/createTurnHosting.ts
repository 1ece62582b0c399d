import type { RankHosting } from "./RankHosting";

/** The map that a group forms with: experts are dealt to the ranks in turn. */
export function createTurnHosting(sets: number, experts: number, ranks: number): RankHosting {
  const dealt = Array.from({ length: ranks }, (_, rank) =>
    Array.from({ length: experts }, (_, expert) => expert).filter((expert) => expert % ranks === rank),
  );
  return Array.from({ length: sets }, () => dealt);
}
