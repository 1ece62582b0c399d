import { setTimeout as delay } from "node:timers/promises";
import { request as requestHttp } from "undici";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import { EntryServer } from "@clementinemux/entry/EntryServer";
import { EntrySettings } from "@clementinemux/entry/EntrySettings";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import type { FleetDefaults } from "@clementinemux/fleet/FleetDefaults";
import { createDefaultConfig } from "@clementinemux/fleet/createDefaultConfig";
import { SystemClock } from "@clementinemux/common/SystemClock";
import { CrashService } from "@clementinemux/membership/CrashService";
import type { FetchEntriesResponse } from "@clementinemux/membership/FetchEntriesResponse";
import type { FetchTargetsResponse } from "@clementinemux/membership/FetchTargetsResponse";
import type { EntryAnnouncement } from "@clementinemux/messages/EntryAnnouncement";
import type { RenewResponse } from "@clementinemux/messages/RenewResponse";
import type { Policy } from "@clementinemux/policy/Policy";
import { EngineServer } from "@clementinemux/standins/engine/EngineServer";
import type { EngineSettings } from "@clementinemux/standins/engine/EngineSettings";
import { ServiceServer } from "@clementinemux/standins/service/ServiceServer";
import { MessageName } from "@clementinemux/wire/MessageName";
import { RpcServer } from "@clementinemux/wire/RpcServer";
import { InMemoryClaimClient } from "./InMemoryClaimClient";

interface FleetOptions {
  /** Membership weights by target. */
  readonly weights?: Readonly<Record<string, number>>;
  readonly engineCount?: number;
  readonly serviceCount?: number;
  readonly entryCount?: number;
  readonly executionMs?: number;
  readonly engine?: Partial<EngineSettings>;
  /** Settings of individual engines, by index. */
  readonly engineOverrides?: readonly Partial<EngineSettings>[];
  readonly policy?: Policy;
  readonly defaults?: Partial<FleetDefaults>;
  readonly settings?: Readonly<Record<string, unknown>>;
}

interface Fleet {
  readonly engines: readonly EngineServer[];
  readonly services: readonly ServiceServer[];
  readonly entries: readonly EntryServer[];
  /** URL of each entry. */
  readonly urls: readonly string[];
  readonly claims: InMemoryClaimClient;
  readonly announced: Map<string, EntryAnnouncement>;
  /** Stand-in for control. A test may make it unreachable or change its configuration. */
  readonly control: { reachable: boolean; config: FleetConfig };
  stop: () => Promise<void>;
}

const host = "127.0.0.1";
const readyDeadlineMs = 5000;

function createAnnouncement(index: number, port: number, kind: TargetKind): TargetAnnouncement {
  return {
    target: `${kind}-${index}`,
    incarnation: "00000000000001-0",
    address: `${host}:${port}`,
    failureDomain: `fd-${index}`,
    region: "r",
    kind,
    models: kind === TargetKind.Engine ? ["demo"] : [],
    adapters: [],
    version: "",
    role: TargetRole.Both,
    service: kind === TargetKind.Service ? "orders" : "",
    group: "",
    rank: 0,
    checksFencing: false,
  };
}

/** Starts entries with stand-in targets, relay and control in this process. */
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
  const base = createDefaultConfig();
  const config = { ...base, revision: 1, defaults: { ...base.defaults, ...options.defaults } };
  const control = { reachable: true, config };
  const targets: TargetAnnouncement[] = [];
  const engines: EngineServer[] = [];
  const services: ServiceServer[] = [];
  for (let index = 0; index < (options.engineCount ?? 1); index += 1) {
    const settings = { host, port: 0, models: ["demo"], tokenIntervalMs: 2, firstTokenMs: 2 };
    const engine = new EngineServer({ ...settings, ...options.engine, ...options.engineOverrides?.[index] });
    targets.push(createAnnouncement(index, await engine.listen(), TargetKind.Engine));
    engines.push(engine);
  }
  for (let index = 0; index < (options.serviceCount ?? 0); index += 1) {
    const service = new ServiceServer({ host, port: 0, executionMs: options.executionMs ?? 5 });
    targets.push(createAnnouncement(index, await service.listen(), TargetKind.Service));
    services.push(service);
  }
  const announced = new Map<string, EntryAnnouncement>();
  const relay = new RpcServer({
    handlers: {
      [MessageName.FetchTargets]: (): FetchTargetsResponse => ({
        directory: "test",
        version: 1,
        subset: "",
        full: true,
        targets,
        weights: options.weights ?? {},
        removed: [],
        more: false,
      }),
      [MessageName.FetchEntries]: (): FetchEntriesResponse => ({
        directory: "test",
        version: 1,
        full: true,
        entries: [...announced.values()],
        removed: [],
      }),
      ...new CrashService(new SystemClock()).handlers,
      [MessageName.AnnounceEntry]: (body) => {
        const announcement = body as EntryAnnouncement;
        announced.set(announcement.entry, announcement);
        return {};
      },
    },
  });
  const relayPort = await relay.listen(host, 0);
  const claims = new InMemoryClaimClient();
  const entries: EntryServer[] = [];
  const urls: string[] = [];
  for (let index = 0; index < (options.entryCount ?? 1); index += 1) {
    const settings = EntrySettings.parse({
      name: `entry-${index}`,
      port: 0,
      failureDomain: `fd-${index}`,
      region: "r",
      relays: [`${host}:${relayPort}`],
      callers: [{ team: "yard", token: "token-of-yard" }],
      anonymousTeam: "anyone",
      pollIntervalMs: 50,
      ...options.settings,
    });
    const renew = (): Promise<RenewResponse | null> => {
      const { revision, defaults } = control.config;
      const leaseMs = defaults.servingLeaseMs;
      const response = { epoch: 1, revision, confirmed: true, leaseMs, changes: [], config: control.config };
      return Promise.resolve(control.reachable ? response : null);
    };
    const entry = new EntryServer(settings, {
      leases: { renew },
      claims,
      ...(options.policy === undefined ? {} : { policy: options.policy }),
    });
    urls.push(`http://${host}:${await entry.start()}`);
    entries.push(entry);
  }
  await waitUntilReady(urls);
  const stop = async (): Promise<void> => {
    await Promise.all(entries.map((entry) => entry.kill()));
    [...engines, ...services].forEach((target) => {
      target.close();
    });
    await relay.close();
  };
  return { engines, services, entries, urls, claims, announced, control, stop };
}

async function waitUntilReady(urls: readonly string[]): Promise<void> {
  const deadlineAtMs = Date.now() + readyDeadlineMs;
  const headers = { authorization: "Bearer token-of-yard" };
  for (const url of urls) {
    for (;;) {
      const ready = await requestHttp(`${url}/readyz`);
      const models = await requestHttp(`${url}/v1/models`, { headers });
      await ready.body.dump();
      const listed = await models.body.text();
      if (ready.statusCode === 200 && listed.includes("demo")) {
        break;
      }
      if (Date.now() > deadlineAtMs) {
        throw new Error(`${url} did not become ready`);
      }
      await delay(10);
    }
  }
  // Models are listed as soon as targets are announced, before the first poll of their agents.
  await delay(150);
}
