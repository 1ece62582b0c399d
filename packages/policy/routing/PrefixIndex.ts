interface TargetPrefixes {
  /** Known blocks, least recently used first. */
  readonly blocks: Map<number, null>;
  lastSequence: number;
  /** Estimated probability that a known block is still cached. */
  confidence: number;
}

/** Upper bound after a gap, because the evictions of the missed events are unknown. */
const confidenceAfterGap = 0.5;
const confidenceSmoothing = 0.1;

/**
 * Estimates which prefix blocks each target has cached. Cache events arrive late and with gaps, so the
 * estimate is corrected by the cached block counts in responses. A block is identified by the hash of the
 * whole prefix up to and including it, so a block implies all shorter ones. Memory is bounded by
 * `maxBlocksPerTarget`; the least recently used blocks are evicted first.
 */
export class PrefixIndex {
  readonly #maxBlocksPerTarget: number;
  readonly #targets = new Map<string, TargetPrefixes>();

  constructor(maxBlocksPerTarget: number) {
    this.#maxBlocksPerTarget = maxBlocksPerTarget;
  }

  /** Applies a cache event. An event that arrives after a later one is dropped. */
  onCacheEvent(
    target: string,
    sequence: number,
    stored: readonly number[],
    evicted: readonly number[],
  ): void {
    const prefixes = this.#get(target);
    if (sequence <= prefixes.lastSequence) {
      return;
    }
    if (sequence > prefixes.lastSequence + 1 && prefixes.lastSequence >= 0) {
      this.onGap(target);
    }
    prefixes.lastSequence = sequence;
    for (const hash of evicted) {
      prefixes.blocks.delete(hash);
    }
    this.#touch(prefixes, stored);
  }

  /** Lowers the confidence because events of the target were lost. */
  onGap(target: string): void {
    const prefixes = this.#get(target);
    prefixes.confidence = Math.min(prefixes.confidence, confidenceAfterGap);
  }

  /** Corrects the index by a response: the first `cachedBlockCount` blocks of the prompt were cached. */
  onResponse(target: string, prefixHashes: readonly number[], cachedBlockCount: number): void {
    const prefixes = this.#get(target);
    const expectedCount = this.#countKnown(prefixes, prefixHashes);
    if (expectedCount > 0) {
      const hit = Math.min(1, cachedBlockCount / expectedCount);
      prefixes.confidence += confidenceSmoothing * (hit - prefixes.confidence);
    }
    // The engine has computed the whole prompt by now, so all its blocks are cached.
    this.#touch(prefixes, prefixHashes);
  }

  /** Adds the blocks of a prompt that was sent: the target computes and then caches them. */
  onDispatch(target: string, prefixHashes: readonly number[]): void {
    this.#touch(this.#get(target), prefixHashes);
  }

  /** Removes a target that restarted or left. */
  clear(target: string): void {
    this.#targets.delete(target);
  }

  /** Expected number of leading blocks of the prompt that the target has cached. */
  getExpectedBlockCount(target: string, prefixHashes: readonly number[]): number {
    const prefixes = this.#targets.get(target);
    return prefixes === undefined ? 0 : this.#countKnown(prefixes, prefixHashes) * prefixes.confidence;
  }

  getBlockCount(target: string): number {
    return this.#targets.get(target)?.blocks.size ?? 0;
  }

  #countKnown(prefixes: TargetPrefixes, prefixHashes: readonly number[]): number {
    // The longest known prefix counts, even if an event for a shorter block was lost.
    for (let count = prefixHashes.length; count > 0; count -= 1) {
      if (prefixes.blocks.has(prefixHashes[count - 1] ?? 0)) {
        return count;
      }
    }
    return 0;
  }

  #touch(prefixes: TargetPrefixes, hashes: readonly number[]): void {
    // Longest prefix first, so that the shortest and most shared blocks become the most recently used.
    for (const hash of [...hashes].reverse()) {
      prefixes.blocks.delete(hash);
      prefixes.blocks.set(hash, null);
    }
    while (prefixes.blocks.size > this.#maxBlocksPerTarget) {
      const oldest = prefixes.blocks.keys().next();
      if (oldest.done === true) {
        return;
      }
      prefixes.blocks.delete(oldest.value);
    }
  }

  #get(target: string): TargetPrefixes {
    let prefixes = this.#targets.get(target);
    if (prefixes === undefined) {
      prefixes = { blocks: new Map(), lastSequence: -1, confidence: 1 };
      this.#targets.set(target, prefixes);
    }
    return prefixes;
  }
}
