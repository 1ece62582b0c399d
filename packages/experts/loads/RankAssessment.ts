/** Why a rank is slower than the others of its group. */
export enum RankAssessment {
  Healthy = "healthy",
  /** Its experts have a high load: move or replicate them. */
  ExpertLoad = "expert_load",
  /** Straggler: slow at average load. No map can fix this; report the rank for replacement. */
  SlowRank = "slow_rank",
}
