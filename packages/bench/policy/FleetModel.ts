import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import { createRandom } from "@clementinemux/common/createRandom";
import type { Random } from "@clementinemux/common/Random";
import type { TargetView } from "@clementinemux/policy/TargetView";
import { createPolicy } from "@clementinemux/policy/createPolicy";
import type { RoutingKind } from "@clementinemux/policy/routing/RoutingKind";
import type { Deployment } from "./Deployment";
import { EventQueue } from "./EventQueue";
import { ModelEngine } from "./ModelEngine";
import { ModelEntry } from "./ModelEntry";
import type { RequestRecord } from "./RequestRecord";
import type { Scenario } from "./Scenario";
import { Workload } from "./Workload";

interface FleetModelOptions {
  readonly deployment: Deployment;
  readonly scenario: Scenario;
  readonly routing: RoutingKind;
  readonly seed: number;
  readonly retryBudgetEnabled: boolean;
  /** Attempts per request. When absent, the value of the default configuration. */
  readonly maxAttempts?: number;
}

const reportIntervalMs = 200;
const reportLagMs = 150;
const cacheEventIntervalMs = 500;
const cacheEventLossShare = 0.1;
const tickIntervalMs = 50;
/**
 * Requests from the warm-up (cold caches) and the tail (may not end within the run) are left out of the
 * results.
 */
const warmUpMs = 5000;
const tailMs = 5000;
/** Time for requests to end after the last arrival. */
const drainMs = 35_000;
const floodTeam = 5;

/**
 * Model of a fleet on a virtual clock: entries with policies, engines, delayed load reports and lossy cache
 * events.
 */
export class FleetModel {
  readonly records: RequestRecord[] = [];
  readonly engines: ModelEngine[] = [];
  readonly policies: ReturnType<typeof createPolicy>[] = [];
  readonly #options: FleetModelOptions;
  readonly #events = new EventQueue();
  readonly #random: Random;
  readonly #workload: Workload;
  readonly #entries: ModelEntry[] = [];
  readonly #names: readonly string[];
  #lastReports: readonly TargetView[];

  constructor(options: FleetModelOptions) {
    this.#options = options;
    const { deployment, scenario, seed } = options;
    this.#random = createRandom(seed);
    this.#workload = new Workload(deployment, createRandom(seed + 1), scenario.driftIntervalMs);
    this.#names = Array.from({ length: deployment.engineCount }, (_, index) => `engine-${index}`);
    for (const index of this.#names.keys()) {
      this.engines.push(new ModelEngine(this.#events, createRandom(seed + 100 + index)));
    }
    this.#lastReports = this.#names.map((_, index) => this.#createView(index));
    for (let index = 0; index < deployment.entryCount; index += 1) {
      this.#entries.push(this.#createEntry(index));
    }
  }

  run(): readonly RequestRecord[] {
    const { durationMs } = this.#options.scenario;
    this.#entries.forEach((entry, index) => {
      entry.applyTargets(this.#lastReports);
      this.#runEvery(tickIntervalMs, index, () => {
        entry.tick();
      });
    });
    this.#runEvery(reportIntervalMs, 0, () => {
      this.#sendReports();
    });
    this.#runEvery(cacheEventIntervalMs, 0, () => {
      this.#sendCacheEvents();
    });
    this.#runEvery(100, 0, () => {
      this.#options.scenario.applyFaults(this.engines, this.#events.nowMs);
    });
    this.#scheduleArrival(
      (atMs) => this.#options.scenario.getLoadShare(atMs) * this.#getPeakFactor(atMs),
      null,
    );
    this.#scheduleArrival(this.#options.scenario.getFloodShare, floodTeam);
    this.#events.runUntil(durationMs + drainMs);
    return this.records;
  }

  #runEvery(intervalMs: number, firstMs: number, run: () => void): void {
    const next = (): void => {
      run();
      this.#events.schedule(intervalMs, next);
    };
    this.#events.schedule(firstMs, next);
  }

  #getPeakFactor(atMs: number): number {
    return Math.floor(atMs / 5000) % 3 === 1 ? this.#options.deployment.peakFactor : 1;
  }

  #scheduleArrival(getShare: (atMs: number) => number, team: number | null): void {
    const share = getShare(this.#events.nowMs);
    const nominalPerS = this.#workload.getNominalPerS();
    const delayMs = share <= 0 ? 100 : (-Math.log(1 - this.#random()) * 1000) / (nominalPerS * share);
    this.#events.schedule(delayMs, () => {
      if (this.#events.nowMs >= this.#options.scenario.durationMs) {
        return;
      }
      if (share > 0) {
        this.#submitNew(team ?? this.#workload.drawTeam());
      }
      this.#scheduleArrival(getShare, team);
    });
  }

  #submitNew(team: number): void {
    const { nowMs } = this.#events;
    const isMeasured = nowMs >= warmUpMs && nowMs < this.#options.scenario.durationMs - tailMs;
    this.#submit(this.#workload.createRecord(team, nowMs, isMeasured));
  }

  #submit(record: RequestRecord): void {
    this.records.push(record);
    const entry = this.#entries[Math.floor(this.#random() * this.#entries.length)];
    entry?.submit(record);
  }

  #createEntry(index: number): ModelEntry {
    const { deployment, routing, seed, retryBudgetEnabled } = this.#options;
    const { config } = this.#workload;
    const maxAttempts = this.#options.maxAttempts ?? config.defaults.maxAttempts;
    const domain = index % deployment.failureDomainCount;
    const policy = createPolicy({
      config: { ...config, defaults: { ...config.defaults, maxAttempts } },
      entryId: `entry-${index}`,
      failureDomain: `domain-${domain}`,
      region: "r",
      random: createRandom(seed + 1000 + index),
      routing,
      retryBudgetEnabled,
    });
    this.policies.push(policy);
    const callerRetries = new Map<string, number>();
    return new ModelEntry({
      events: this.#events,
      policy,
      engines: new Map(this.engines.map((engine, at) => [`engine-${at}`, engine])),
      getLatencyMs: (target) =>
        this.#names.indexOf(target) % deployment.failureDomainCount === domain
          ? 0.1
          : deployment.domainLatencyMs,
      firstTokenTimeoutMs: this.#workload.config.defaults.firstTokenTimeoutMs,
      onRefused: (record, retryAfterMs) => {
        this.#retryAsCaller(record, retryAfterMs, callerRetries);
      },
    });
  }

  #retryAsCaller(record: RequestRecord, retryAfterMs: number, counts: Map<string, number>): void {
    const { team, requestId } = record.request;
    const original = requestId.split("+")[0] ?? requestId;
    const count = counts.get(original) ?? Number(requestId.split("+")[1] ?? 0);
    if (count >= this.#options.scenario.callerRetryCount) {
      return;
    }
    this.#events.schedule(retryAfterMs, () => {
      const next = this.#workload.createRecord(Number(team.slice(5)), this.#events.nowMs, false);
      this.#submit({ ...next, request: { ...next.request, requestId: `${original}+${count + 1}` } });
    });
  }

  #createView(index: number): TargetView {
    const report = this.engines[index]?.getReport();
    return {
      announcement: {
        target: `engine-${index}`,
        incarnation: "1",
        address: "",
        failureDomain: `domain-${index % this.#options.deployment.failureDomainCount}`,
        region: "r",
        kind: TargetKind.Engine,
        models: ["m"],
        adapters: [],
        version: "1",
        role: TargetRole.Both,
        service: "",
        group: "",
        rank: 0,
        checksFencing: true,
      },
      accepting: true,
      membershipWeight: 1,
      load: report === undefined ? null : { measuredAtMs: this.#events.nowMs, ...report },
    };
  }

  /** All entries receive the same reports at the same time, after `reportLagMs`. */
  #sendReports(): void {
    const views = this.#names.map((_, index) => this.#createView(index));
    this.#events.schedule(reportLagMs, () => {
      this.#lastReports = views;
      for (const entry of this.#entries) {
        entry.applyTargets(views);
      }
    });
  }

  #sendCacheEvents(): void {
    for (const [index, engine] of this.engines.entries()) {
      const events = engine.cacheEvents.splice(0).filter(() => this.#random() >= cacheEventLossShare);
      for (const { sequence, stored, evicted } of events) {
        for (const entry of this.#entries) {
          entry.onCacheEvent(this.#names[index] ?? "", sequence, stored, evicted);
        }
      }
    }
  }
}
