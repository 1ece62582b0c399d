import { join } from "node:path";
import { setTimeout as delay } from "node:timers/promises";
import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import { TokenBucket } from "@clementinemux/common/TokenBucket";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { CrashLedger } from "@clementinemux/crashes/CrashLedger";
import type { AwaitFindingsRequest } from "@clementinemux/registry/AwaitFindingsRequest";
import type { AwaitFindingsResponse } from "@clementinemux/registry/AwaitFindingsResponse";
import { systemDisk } from "@clementinemux/storage/systemDisk";
import { SuspicionFile } from "./SuspicionFile";

interface CrashFeedOptions {
  readonly incarnation: string;
  readonly clock: Clock;
  /** Called when the findings have changed, for the other coordinators. */
  readonly onChanged: () => void;
  readonly logger: Logger;
  /** Null for a coordinator without a disk. */
  readonly dataFolder: string | null;
}

/** Longest delay of a response while nothing changes. */
const holdMs = 5000;
/** Rounds of responses that may follow each other at once; many crashes together change the findings as often. */
const maxBurst = 8;
const roundsPerS = 20;
const fileName = "suspicions";

/**
 * The crash ledger of a coordinator, and the gateways that wait for a change of its findings. A caller may repeat a request
 * at another gateway a few ms after it has crashed its target, long before that gateway's next report.
 */
export class CrashFeed {
  readonly #options: CrashFeedOptions;
  readonly #ledger = new CrashLedger();
  readonly #waiting = new Set<() => void>();
  readonly #rounds: TokenBucket;
  readonly #file: SuspicionFile | null;
  /** Tells whether the suspicions have changed since they were saved. */
  #savedText = "";
  #publishedRevision = 0;
  #timer: NodeJS.Timeout | null = null;

  constructor(options: CrashFeedOptions) {
    this.#options = options;
    const { dataFolder, clock, logger } = options;
    const path = dataFolder === null ? null : join(dataFolder, fileName);
    this.#file = path === null ? null : new SuspicionFile({ path, disk: systemDisk, clock, logger });
    const fullSinceMs = this.#now() - (maxBurst / roundsPerS) * 1000;
    this.#rounds = new TokenBucket(roundsPerS, maxBurst, fullSinceMs);
  }

  /** Takes over what was suspected before a restart. */
  async load(): Promise<void> {
    const suspicions = (await this.#file?.load()) ?? [];
    this.merge({ reports: [], answered: [], suspicions });
  }

  merge(evidence: CrashEvidence): void {
    this.#ledger.merge(evidence, this.#now());
    this.#publish();
  }

  /** Attributes the crashes that are due, and logs the suspicions that begin. */
  review(): void {
    for (const { part: cause, crashes, target } of this.#ledger.review(this.#now())) {
      this.#options.logger.warn({ cause, crashes, target }, "suspected of crashing targets");
    }
    this.#publish();
  }

  getEvidence(): CrashEvidence {
    return this.#ledger.getEvidence(this.#now());
  }

  getFindings(): CrashFindings {
    return this.#ledger.getFindings(this.#now());
  }

  /** Resolves at once when the findings differ from those of the request, else with their next change. */
  async awaitFindings({ revision }: AwaitFindingsRequest): Promise<AwaitFindingsResponse> {
    if (revision === this.#revision) {
      const held = new AbortController();
      await new Promise<void>((resolve) => {
        this.#waiting.add(resolve);
        void delay(holdMs, undefined, { signal: held.signal, ref: false }).then(resolve, () => undefined);
        held.signal.addEventListener("abort", () => this.#waiting.delete(resolve), { once: true });
      });
      held.abort();
    }
    return { revision: this.#revision, findings: this.getFindings() };
  }

  close(): void {
    clearTimeout(this.#timer ?? undefined);
    this.#release();
  }

  get #revision(): string {
    return `${this.#options.incarnation}:${this.#publishedRevision}`;
  }

  #publish(): void {
    if (this.#ledger.revision === this.#publishedRevision || this.#timer !== null) {
      return;
    }
    const waitMs = this.#rounds.getWaitMs(1, this.#now());
    if (waitMs > 0) {
      this.#timer = setTimeout(() => {
        this.#timer = null;
        this.#publish();
      }, waitMs);
      return;
    }
    this.#rounds.take(1, this.#now());
    this.#publishedRevision = this.#ledger.revision;
    this.#release();
    this.#save();
    this.#options.onChanged();
  }

  #save(): void {
    const suspicions = this.getFindings().suspicions.filter(({ isLifted }) => !isLifted);
    const text = suspicions.map(({ part, crashes }) => `${part} ${crashes}`).join("\n");
    if (text !== this.#savedText) {
      this.#savedText = text;
      this.#file?.save(suspicions);
    }
  }

  #release(): void {
    const waiting = [...this.#waiting];
    this.#waiting.clear();
    waiting.forEach((resolve) => {
      resolve();
    });
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}
