import type { LoadReport } from "./LoadReport";
import type { TargetView } from "./TargetView";
import { ConcurrencyLimit } from "./health/ConcurrencyLimit";
import { TargetHealth } from "./health/TargetHealth";

const defaultBatchLimit = 16;
/** Changes older than this are dropped, because no usable load report is as old. */
const maxReportAgeMs = 10_000;

/** State of one target at this entry: last view, own requests in flight, concurrency limit and health. */
export class TargetState {
  readonly health: TargetHealth;
  readonly concurrencyLimit = new ConcurrencyLimit();
  #view: TargetView;
  #inFlightCount = 0;
  /** Requests that this entry started (+1) or that ended (-1), for correcting a late load report. */
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
    // A reported limit of 0 would keep every request queued forever.
    const reported = this.#view.load?.batchLimitCount ?? 0;
    return reported > 0 ? reported : defaultBatchLimit;
  }

  setView(view: TargetView, nowMs: number): void {
    this.#view = view;
    const oldestMs = Math.max(view.load?.measuredAtMs ?? 0, nowMs - maxReportAgeMs);
    this.#changes = this.#changes.filter(({ atMs }) => atMs > oldestMs);
  }

  onRequestSent(nowMs: number): void {
    this.#inFlightCount += 1;
    this.#changes.push({ atMs: nowMs, change: 1 });
  }

  onRequestEnded(nowMs: number): void {
    this.#inFlightCount -= 1;
    this.#changes.push({ atMs: nowMs, change: -1 });
  }

  /**
   * Estimated number of requests at the target now: the reported ones plus the changes since the report. All
   * entries see the same late report and tend to choose the same target, so this entry's own changes are
   * multiplied by `herdFactor`.
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

  /** Expected duration of a decoding step with `loadCount` requests; steps get longer as the batch fills. */
  getStepMs(loadCount: number, meanStepMs: number): number {
    const { load } = this.#view;
    const measuredMs = load === null || load.stepMs <= 0 ? meanStepMs : load.stepMs;
    return (measuredMs * getBatchFactor(loadCount, this.batchLimitCount)) / this.#getReportedFactor(load);
  }

  #getReportedFactor(load: LoadReport | null): number {
    return load === null ? 1 : getBatchFactor(load.runningCount, this.batchLimitCount);
  }
}

/** Step duration relative to an almost empty batch: 2 when the batch is full. */
function getBatchFactor(loadCount: number, batchLimitCount: number): number {
  return 1 + Math.min(1, loadCount / batchLimitCount);
}
