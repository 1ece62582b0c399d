import type { LoadReport } from "./LoadReport";
import type { TargetView } from "./TargetView";
import { ConcurrencyLimit } from "./health/ConcurrencyLimit";
import { TargetHealth } from "./health/TargetHealth";

const defaultBatchLimit = 16;
/** Sends and ends older than any usable report are dropped. */
const maxReportAgeMs = 10_000;

/** What this entry knows of one target: the last view, its own requests there, limit and health. */
export class TargetState {
  readonly health: TargetHealth;
  readonly limit = new ConcurrencyLimit();
  #view: TargetView;
  #inFlightCount = 0;
  /** Times at which this entry sent (+1) or saw the end of (-1) a request. */
  #changes: { readonly atMs: number; readonly change: 1 | -1 }[] = [];

  constructor(view: TargetView, warmFromMs: number) {
    this.#view = view;
    this.health = new TargetHealth(warmFromMs);
  }

  get name(): string {
    return this.#view.announcement.target;
  }

  get view(): TargetView {
    return this.#view;
  }

  get inFlightCount(): number {
    return this.#inFlightCount;
  }

  get batchLimitCount(): number {
    // A report of 0 would keep every request in the queue for ever.
    const reported = this.#view.load?.batchLimitCount ?? 0;
    return reported > 0 ? reported : defaultBatchLimit;
  }

  setView(view: TargetView, nowMs: number): void {
    this.#view = view;
    const oldestMs = Math.max(view.load?.measuredAtMs ?? 0, nowMs - maxReportAgeMs);
    this.#changes = this.#changes.filter(({ atMs }) => atMs > oldestMs);
  }

  onSent(nowMs: number): void {
    this.#inFlightCount += 1;
    this.#changes.push({ atMs: nowMs, change: 1 });
  }

  onEnded(nowMs: number): void {
    this.#inFlightCount -= 1;
    this.#changes.push({ atMs: nowMs, change: -1 });
  }

  /**
   * Requests at the target now: the reported ones and what has changed since the report. The entries see the
   * same late report and choose alike, so this entry's own changes stand for `herdFactor` times as many.
   */
  getLoadCount(herdFactor: number): number {
    const { load } = this.#view;
    if (load === null) {
      return this.#inFlightCount;
    }
    const changed = this.#changes.reduce(
      (sum, { atMs, change }) => (atMs > load.measuredAtMs ? sum + change : sum),
      0,
    );
    return Math.max(this.#inFlightCount, load.runningCount + load.queuedCount + changed * herdFactor);
  }

  /** Decoding step expected with `loadCount` requests; steps lengthen with the batch. */
  getStepMs(loadCount: number, meanStepMs: number): number {
    const { load } = this.#view;
    const measuredMs = load === null || load.stepMs <= 0 ? meanStepMs : load.stepMs;
    return (measuredMs * getBatchFactor(loadCount, this.batchLimitCount)) / this.#getReportedFactor(load);
  }

  #getReportedFactor(load: LoadReport | null): number {
    return load === null ? 1 : getBatchFactor(load.runningCount, this.batchLimitCount);
  }
}

/** Length of a step against that of an almost empty batch: about twice as long when the batch is full. */
function getBatchFactor(loadCount: number, batchLimitCount: number): number {
  return 1 + Math.min(1, loadCount / batchLimitCount);
}
