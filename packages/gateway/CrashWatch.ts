import type { Logger } from "roarr";
import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import { AnsweredCauses } from "@clementinemux/crashes/AnsweredCauses";
import type { CrashEvidence } from "@clementinemux/crashes/CrashEvidence";
import type { CrashFindings } from "@clementinemux/crashes/CrashFindings";
import { SuspectTable } from "@clementinemux/crashes/SuspectTable";
import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import { AttemptWatch } from "./AttemptWatch";

interface CrashWatchOptions {
  readonly clock: Clock;
  readonly random: Random;
  /** Resolves with whether the target refuses connections, as after a crash. */
  readonly isRefusing: (address: string) => Promise<boolean>;
  /** Called when there is news for the coordinators. */
  readonly onNews: () => void;
  readonly logger: Logger;
}

interface SeenCrash {
  readonly target: TargetRecord;
  readonly atMs: number;
  readonly parts: Set<string>;
}

/** A crash is reported for this long, since reports may be lost and coordinators may change. */
const reportedMs = 3000;
const maxCrashes = 64;

/**
 * Recognizes crashes of targets at the requests of this gateway, and holds the parts of prompts that are suspected of
 * causing them. A broken connection alone is no crash: the target must refuse new ones, too.
 */
export class CrashWatch {
  readonly #options: CrashWatchOptions;
  readonly #answered = new AnsweredCauses();
  readonly #suspects: SuspectTable;
  readonly #crashes = new Map<string, SeenCrash>();
  #watched: readonly string[] = [];

  constructor(options: CrashWatchOptions) {
    this.#options = options;
    this.#suspects = new SuspectTable(options.random);
  }

  /** Time until a request with these parts may be sent, in ms; 0 if none of them is suspected of crashing targets. */
  getWaitMs(parts: readonly string[]): number {
    return this.#suspects.getWaitMs(parts, this.#now());
  }

  /** Begins to observe an attempt that is about to be sent. */
  begin(target: TargetRecord, parts: readonly string[]): AttemptWatch {
    this.#suspects.noteSent(parts, this.#now());
    return new AttemptWatch({
      target,
      parts,
      onAnswered: (answered, nowMs) => {
        this.#noteAnswered(target, answered, nowMs);
      },
      onBroken: (watch, nowMs) => {
        void this.#examine(watch, nowMs);
      },
    });
  }

  /** Whether a target has lately answered requests with each of these parts. */
  areAnswered(parts: readonly string[]): boolean {
    return parts.every((part) => this.#answered.find(part, this.#now()) !== null);
  }

  /** Takes over what a coordinator has concluded. */
  update({ suspicions, watched }: CrashFindings): void {
    const hasNews = watched.some((part) => !this.#watched.includes(part) && this.areAnswered([part]));
    this.#watched = watched;
    this.#suspects.update(suspicions, this.#now());
    if (hasNews) {
      this.#options.onNews();
    }
  }

  /** What the coordinators may lack. */
  getEvidence(): CrashEvidence {
    const nowMs = this.#now();
    for (const [id, { atMs }] of this.#crashes) {
      if (nowMs - atMs > reportedMs) {
        this.#crashes.delete(id);
      }
    }
    return {
      reports: [...this.#crashes.values()].map(({ target: { id, bornMs }, atMs, parts }) => ({
        target: { id, bornMs },
        ageMs: nowMs - atMs,
        parts: [...parts],
      })),
      answered: this.#answered.list(this.#watched, nowMs),
      suspicions: this.#suspects.list(nowMs),
    };
  }

  #noteAnswered(target: TargetRecord, parts: readonly string[], nowMs: number): void {
    const watched = parts.filter((part) => this.#watched.includes(part));
    if (watched.length > 0) {
      this.#options.logger.info({ target: target.id, parts: watched }, "watched prompt part answered");
    }
    parts.forEach((part) => {
      this.#answered.note(part, nowMs);
    });
  }

  async #examine({ target, parts }: AttemptWatch, atMs: number): Promise<void> {
    const { isRefusing, onNews, logger } = this.#options;
    if (!(await isRefusing(target.address))) {
      return;
    }
    const key = `${target.id}:${target.bornMs}`;
    const known = this.#crashes.get(key);
    if (known === undefined && this.#crashes.size >= maxCrashes) {
      return;
    }
    const crash = known ?? { target, atMs, parts: new Set() };
    this.#crashes.set(key, crash);
    const suspects = parts.filter((part) => !this.areAnswered([part]));
    suspects.forEach((part) => crash.parts.add(part));
    logger.warn({ target: target.id, parts: suspects }, "target crashed before it answered a request");
    onNews();
  }

  #now(): number {
    return this.#options.clock.monotonicMs();
  }
}
