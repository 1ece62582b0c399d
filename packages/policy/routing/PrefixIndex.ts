interface TargetPrefixes {
  /** Known blocks in order of last use, oldest first. */
  readonly blocks: Map<number, null>;
  lastSequence: number;
  /** Belief that a known block is still cached. */
  confidence: number;
}

/** After a gap the evictions of the missed events are unknown. */
const confidenceAfterGap = 0.5;
const confidenceGain = 0.1;

/**
 * Which prefix blocks each target holds in its cache, as far as late events with gaps tell, corrected by
 * what answers show. Blocks are named by the hash of the whole prefix up to and including them, so a block
 * implies all shorter ones. Memory is bounded by `maxBlocksPerTarget`; the least recently used blocks go first.
 */
export class PrefixIndex {
  readonly #maxBlocksPerTarget: number;
  readonly #targets = new Map<string, TargetPrefixes>();

  constructor(maxBlocksPerTarget: number) {
    this.#maxBlocksPerTarget = maxBlocksPerTarget;
  }

  /** Takes a cache event. An event that arrives after a later one is dropped: its order is lost. */
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

  /** Notes that events of the target were lost. */
  onGap(target: string): void {
    const prefixes = this.#get(target);
    prefixes.confidence = Math.min(prefixes.confidence, confidenceAfterGap);
  }

  /** Corrects the index by an answer: the first `cachedBlockCount` blocks of the prompt were in the cache. */
  onAnswer(target: string, prefixHashes: readonly number[], cachedBlockCount: number): void {
    const prefixes = this.#get(target);
    const expectedCount = this.#countKnown(prefixes, prefixHashes);
    if (expectedCount > 0) {
      const hit = Math.min(1, cachedBlockCount / expectedCount);
      prefixes.confidence += confidenceGain * (hit - prefixes.confidence);
    }
    // The engine has computed the whole prompt by now, so all its blocks are in the cache.
    this.#touch(prefixes, prefixHashes);
  }

  /** Notes that a prompt was sent: the target computes and then holds its blocks. */
  onDispatch(target: string, prefixHashes: readonly number[]): void {
    this.#touch(this.#get(target), prefixHashes);
  }

  /** Forgets a target that restarted or left. */
  clear(target: string): void {
    this.#targets.delete(target);
  }

  /** Expected number of leading blocks of the prompt in the target's cache. */
  getExpectedBlockCount(target: string, prefixHashes: readonly number[]): number {
    const prefixes = this.#targets.get(target);
    return prefixes === undefined ? 0 : this.#countKnown(prefixes, prefixHashes) * prefixes.confidence;
  }

  getBlockCount(target: string): number {
    return this.#targets.get(target)?.blocks.size ?? 0;
  }

  #countKnown(prefixes: TargetPrefixes, prefixHashes: readonly number[]): number {
    // The longest known prefix counts, also when an event for a shorter block was lost.
    for (let count = prefixHashes.length; count > 0; count -= 1) {
      if (prefixes.blocks.has(prefixHashes[count - 1] ?? 0)) {
        return count;
      }
    }
    return 0;
  }

  #touch(prefixes: TargetPrefixes, hashes: readonly number[]): void {
    // Longest first, so that the shortest and most shared blocks become the most recently used.
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
