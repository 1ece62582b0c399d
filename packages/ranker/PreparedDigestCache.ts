import type { RankHoldState } from "@clementinemux/experts/hold/RankHoldState";
import { getExpertsDigest } from "@clementinemux/experts/hold/getExpertsDigest";
import type { RankClient } from "./RankClient";

interface CachedDigest {
  readonly epoch: number;
  readonly version: number;
  readonly digest: number;
}

/**
 * Caches the digest of the experts that a rank has prepared, since reading their lists takes a call to the
 * rank.
 */
export class PreparedDigestCache {
  readonly #rank: RankClient;
  #cached: CachedDigest | null = null;

  constructor(rank: RankClient) {
    this.#rank = rank;
  }

  /** Resolves with null when the rank has prepared nothing or its lists cannot be read. */
  async read({ epoch, preparedVersion }: RankHoldState): Promise<number | null> {
    if (preparedVersion === null) {
      return null;
    }
    if (this.#cached?.epoch === epoch && this.#cached.version === preparedVersion) {
      return this.#cached.digest;
    }
    const prepared = await this.#rank.readPreparedExperts();
    if (prepared?.version !== preparedVersion) {
      return null;
    }
    const digest = getExpertsDigest(prepared.experts);
    this.#cached = { epoch, version: preparedVersion, digest };
    return digest;
  }
}
