import type { RankHosting } from "./RankHosting";

/** Initial placement of a group: experts are assigned to the ranks round-robin. */
export function createRoundRobinHosting(sets: number, experts: number, ranks: number): RankHosting {
  const expertsByRank = Array.from({ length: ranks }, (_, rank) =>
    Array.from({ length: experts }, (_, expert) => expert).filter((expert) => expert % ranks === rank),
  );
  return Array.from({ length: sets }, () => expertsByRank);
}
