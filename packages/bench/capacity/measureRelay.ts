import { decode } from "cbor-x";
import { Right } from "purify-ts/Either";
import { SystemClock } from "@clementinemux/common/SystemClock";
import type { ControlClient } from "@clementinemux/control/ControlClient";
import { LeaseTable } from "@clementinemux/control/LeaseTable";
import { ServingRelay } from "@clementinemux/control/ServingRelay";
import type { FleetConfig } from "@clementinemux/fleet/FleetConfig";
import { RelayService } from "@clementinemux/membership/RelayService";
import { LeaseholderKind } from "@clementinemux/messages/LeaseholderKind";
import type { RenewRequest } from "@clementinemux/messages/RenewRequest";
import { FrameKind } from "@clementinemux/wire/FrameKind";
import { MessageName } from "@clementinemux/wire/MessageName";
import { encodeFrame } from "@clementinemux/wire/encodeFrame";
import { runMembershipBench } from "../membership/runMembershipBench";
import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";
import { createAnnouncement } from "./createAnnouncement";
import { createSlope } from "./createSlope";
import { createTeamConfig } from "./createTeamConfig";
import { measureCpuMs } from "./measureCpuMs";
import { measureRetainedBytes } from "./measureRetainedBytes";

const sizes = [400, 800, 1600, 3200] as const;
const directorySizes = [1500, 3000, 6000, 12_000] as const;
const entryCounts = [50, 100, 200, 350] as const;
const teamCounts = [500, 1000, 2000, 4100] as const;
const startedAgents = 20;
const headerBytes = 4;

/** Measures the slopes of a relay. CPU times include decoding and encoding of frames, but not the sockets. */
export async function measureRelay(): Promise<Slope[]> {
  const serving = await createServingRelay();
  const withTeams = new Map<number, ServingRelay>();
  for (const count of teamCounts) {
    withTeams.set(count, await createServingRelay({ ...createTeamConfig(count), revision: 2000 }));
  }
  const getWithTeams = (count: number): ServingRelay => withTeams.get(count) ?? serving;
  const announcements = Array.from({ length: 12_000 }, (_, index) => createAnnouncement(index));
  const createRelay = (count: number): RelayService => {
    const relay = new RelayService({
      name: "relay-1",
      failureDomain: "fd-0",
      probe: () => Promise.resolve(true),
    });
    for (const announcement of announcements.slice(0, count)) {
      void relay.handlers[MessageName.Announce]?.(announcement, "bench");
    }
    return relay;
  };
  const announceEntries = (relay: RelayService, count: number): void => {
    for (let index = 0; index < count; index += 1) {
      void relay.handlers[MessageName.AnnounceEntry]?.(createEntry(index), "bench");
    }
  };
  const subset = { entry: "entry-1", groupCount: 3 };
  return [
    ...measureMembership(),
    createSlope("relay.heartbeatCpuMs", "ms/heartbeat", sizes, (count) => {
      const frames = announcements
        .slice(0, count)
        .map(({ target, incarnation }) => createRequest(MessageName.Heartbeat, { target, incarnation }));
      return measureCpuMs(
        () => createRelay(count),
        (relay) => {
          handleAll(frames, (body) => relay.handlers[MessageName.Heartbeat]?.(body, "bench"));
        },
      );
    }),
    createSlope("relay.renewalCpuMs", "ms/renewal", sizes, (count) => {
      const frames = announcements
        .slice(0, count)
        .map(({ target }) => createRequest(MessageName.Renew, createRenewal(target)));
      return measureCpuMs(
        () => undefined,
        () => {
          handleAll(frames, (body) => serving.grant(body as RenewRequest));
        },
      );
    }),
    createSlope("relay.lowestRevisionCpuMs", "ms/holder", sizes, (count) => {
      const ledger = new LeaseTable();
      for (let index = 0; index < count; index += 1) {
        ledger.recordRenewal(`holder-${index}`, "1", "r", index, 1e12);
      }
      return (
        measureCpuMs(
          () => undefined,
          () => {
            for (let round = 0; round < 10; round += 1) {
              ledger.getLowestRevision(0, Infinity);
            }
          },
        ) / 10
      );
    }),
    createSlope("relay.tickCpuMs", "ms/watched target", sizes, (count) => {
      const relay = createRelay(count);
      return (
        measureCpuMs(
          () => undefined,
          () => {
            for (let round = 0; round < 10; round += 1) {
              relay.tick(performance.now());
            }
          },
        ) / 10
      );
    }),
    createSlope("relay.watchedTargetBytes", "B/watched target", directorySizes, (count) =>
      measureRetainedBytes(() => createRelay(count)),
    ),
    createSlope("relay.reassignCpuMs", "ms/target at 350 entries", directorySizes, (count) =>
      measureCpuMs(
        () => {
          const relay = createRelay(count);
          announceEntries(relay, 350);
          return relay;
        },
        (relay) => void relay.handlers[MessageName.FetchTargets]?.({ since: null, subset }, "bench"),
      ),
    ),
    createSlope("relay.reassignCpuMsByEntry", "ms/entry at 12,000 targets", entryCounts, (count) =>
      measureCpuMs(
        () => {
          const relay = createRelay(12_000);
          announceEntries(relay, count);
          return relay;
        },
        (relay) => void relay.handlers[MessageName.FetchTargets]?.({ since: null, subset }, "bench"),
      ),
    ),
    createSlope("entry.fetchWholeListBytes", "B/target", sizes, (count) =>
      measureResponseBytes(MessageName.FetchTargets, createRelay(count).directory.targets()),
    ),
    createSlope("entry.fetchEntriesBytes", "B/entry", entryCounts, (count) => {
      const relay = createRelay(0);
      announceEntries(relay, count);
      return measureResponseBytes(MessageName.FetchEntries, relay.entries());
    }),
    createSlope("agent.wholeConfigBytes", "B/exception (team)", teamCounts, (count) =>
      measureResponseBytes(MessageName.Renew, getWithTeams(count).grant(createRenewal("runner-1234"))),
    ),
    createSlope("relay.wholeConfigCpuMs", "ms/exception, for each agent that starts", teamCounts, (count) => {
      const relay = getWithTeams(count);
      return (
        measureCpuMs(
          () => undefined,
          () => {
            for (let index = 0; index < startedAgents; index += 1) {
              measureResponseBytes(MessageName.Renew, relay.grant(createRenewal(`runner-${index}`)));
            }
          },
        ) / startedAgents
      );
    }),
    createSlope("agent.renewalBytes", "B/renewal", [1, 2, 4, 8], (count) => {
      const request = createRequest(MessageName.Renew, createRenewal("runner-1234"));
      const responseBytes = measureResponseBytes(
        MessageName.Renew,
        serving.grant(createRenewal("runner-1234")),
      );
      return count * (request.length + responseBytes);
    }),
  ];
}

function measureMembership(): Slope[] {
  const { points } = runMembershipBench();
  const quantities = [
    ["directoryBytes", "relay.directoryBytes", "B/target"],
    ["relayBytesPerS", "relay.membershipBytesPerS", "B/s/target of the fleet"],
    ["relayMessagesPerS", "relay.membershipMessagesPerS", "messages/s/target of the fleet"],
    ["agentBytesPerS", "agent.heartbeatBytesPerS", "B/s/target of the fleet"],
    ["entryBytesPerS", "entry.fetchDeltaBytesPerS", "B/s/target of the fleet"],
  ] as const;
  return quantities.map(([quantity, name, unit]) => {
    const xy = points.map((point) => ({ x: point.targetCount, y: point[quantity] }));
    return { name, unit, points: xy, ...fitLine(xy) };
  });
}

function createRenewal(holder: string): RenewRequest {
  return {
    holder,
    incarnation: "01764800000000-1a2b3c4d",
    kind: LeaseholderKind.Agent,
    failureDomain: "fd-1",
    region: "region-1",
    appliedRevision: 0,
  };
}

function createEntry(index: number): object {
  return {
    entry: `entry-${index}`,
    incarnation: "01764800000000-1a2b3c4d",
    url: `https://10.1.${index >> 8}.${index & 255}:8443`,
    failureDomain: `fd-${index % 15}`,
    region: `region-${index % 5}`,
    leaving: false,
  };
}

async function createServingRelay(config: FleetConfig | null = null): Promise<ServingRelay> {
  const renewal = { epoch: 1, revision: 0, confirmed: true, leaseMs: 4_000_000, changes: [], config: null };
  const client = { call: () => Promise.resolve(Right(renewal)) } as unknown as ControlClient;
  const location = { failureDomain: "fd-1", region: "region-1" };
  const clock = new SystemClock();
  const relay = new ServingRelay({
    name: "relay-1",
    incarnation: "1",
    ...location,
    client,
    clock,
    maxClockDriftShare: 0.01,
  });
  await relay.renew();
  if (config !== null) {
    relay.view.update({ revision: config.revision, changes: [], config });
  }
  return relay;
}

function createRequest(name: MessageName, body: unknown): Buffer {
  return encodeFrame({ kind: FrameKind.Request, id: 12_345, name, body });
}

function measureResponseBytes(name: MessageName, body: unknown): number {
  return encodeFrame({ kind: FrameKind.Response, id: 12_345, name, body }).length;
}

function handleAll(frames: readonly Buffer[], handle: (body: unknown) => unknown): void {
  for (const frame of frames) {
    const [, , name, body] = decode(frame.subarray(headerBytes)) as [number, number, MessageName, unknown];
    measureResponseBytes(name, handle(body));
  }
}
