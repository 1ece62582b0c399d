/** Why a rank is slower than the others of its group. */
export enum RankVerdict {
  Healthy = "healthy",
  /** Its experts are hot: move or split them. */
  ExpertLoad = "expert_load",
  /** Slow at an average load: no map can mend it; report it for replacement. */
  SlowRank = "slow_rank",
}
