import { decode, encode } from "cbor-x";
import { TargetKind } from "@clementinemux/common/TargetKind";
import { TargetRole } from "@clementinemux/common/TargetRole";
import type { TargetAnnouncement } from "@clementinemux/common/TargetAnnouncement";
import { Directory } from "@clementinemux/membership/Directory";
import type { DirectorySyncResponse } from "@clementinemux/membership/DirectorySyncResponse";
import type { FetchTargetsRequest } from "@clementinemux/membership/FetchTargetsRequest";
import { RecordKind } from "@clementinemux/membership/RecordKind";
import { DirectoryQuery } from "@clementinemux/membership/DirectoryQuery";
import { fitLine } from "../fitLine";
import { getUsedHeapBytes } from "../getUsedHeapBytes";

interface MembershipPoint {
  readonly targetCount: number;
  readonly relayCount: number;
  /** Sent and received bytes, as a mean over the relays. */
  readonly relayBytesPerS: number;
  readonly relayMessagesPerS: number;
  /** Bytes sent and received by one agent with its heartbeats to two relays. */
  readonly agentBytesPerS: number;
  /** Bytes sent and received by one entry that fetches its subset every second. */
  readonly entryBytesPerS: number;
  readonly directoryBytes: number;
}

interface MembershipFit {
  readonly quantity: string;
  /** Increase per additional target. */
  readonly slope: number;
  readonly intercept: number;
  /** Root mean square error of the fit. */
  readonly residual: number;
}

interface MembershipBenchResult {
  readonly points: readonly MembershipPoint[];
  readonly fits: readonly MembershipFit[];
}

interface Traffic {
  bytes: number;
  messages: number;
}

const defaultSizes = [100, 400, 1600, 6400] as const;
// Small directories are copied several times, because the heap size itself varies by some hundred kilobytes.
const minMeasuredRecords = 12_800;
const frameOverheadBytes = 4;
const domainCount = 15;
// Two relays per failure domain, as at design scale.
const relayCount = 2 * domainCount;
const syncsPerS = 2;
const durationS = 30;
// Restarts and replacements at design scale: 2,700 per day for 12,000 targets.
const changesPerTargetAndS = 2700 / 12_000 / 86_400;
const groupSize = 32;
const modelCount = 7;

/** Measures membership traffic and memory by fleet size, with real relay directories and no network. */
export function runMembershipBench(sizes: readonly number[] = defaultSizes): MembershipBenchResult {
  const points = sizes.map(measure);
  const quantities = [
    "relayBytesPerS",
    "relayMessagesPerS",
    "agentBytesPerS",
    "entryBytesPerS",
    "directoryBytes",
  ] as const;
  const fits = quantities.map((quantity) => fit(quantity, points));
  return { points, fits };
}

function measure(targetCount: number): MembershipPoint {
  const relays = Array.from(
    { length: relayCount },
    (_, index) => new Directory({ origin: `relay-${index}/1` }),
  );
  const targets = Array.from({ length: targetCount }, (_, index) => createTarget(index, "00000000000001-aa"));
  for (const target of targets) {
    for (const relay of getRelays(relays, target)) {
      relay.announceTarget(target, false, 0);
    }
  }
  exchangeAll(relays);
  const directoryBytes = measureDirectoryBytes(relays[1]);
  const relayTraffic: Traffic = { bytes: 0, messages: 0 };
  const agentTraffic: Traffic = { bytes: 0, messages: 0 };
  const entryTraffic: Traffic = { bytes: 0, messages: 0 };
  const query = new DirectoryQuery(relays[0] ?? new Directory({ origin: "none" }));
  const subset = { entry: "entry-1", groupCount: 3 };
  for (let index = 0; index < relayCount; index += 1) {
    const attributes = {
      url: "http://entry",
      failureDomain: `fd-${index % domainCount}`,
      region: "r",
      leaving: false,
    };
    relays[0]?.announceEntry({ ...attributes, entry: `entry-${index}`, incarnation: "1" }, 0);
  }
  let since = query.fetchTargets({ since: null, subset });
  for (let second = 0; second < durationS; second += 1) {
    const changeCount = countChanges(targetCount, second);
    for (let index = 0; index < changeCount; index += 1) {
      const changed = createTarget((second * 37 + index) % targetCount, `0000000000${1000 + second}-bb`);
      for (const relay of getRelays(relays, changed)) {
        count([relayTraffic], "announce", changed, relay.announceTarget(changed, false, second));
      }
    }
    for (const target of targets) {
      for (const relay of getRelays(relays, target)) {
        const { target: name, incarnation } = target;
        const result = relay.checkHeartbeat(RecordKind.Target, name, incarnation);
        const counted = target === targets[0] ? [relayTraffic, agentTraffic] : [relayTraffic];
        count(counted, "heartbeat", { target: name, incarnation }, result);
      }
    }
    for (let round = 0; round < syncsPerS; round += 1) {
      syncOnce(relays, second * syncsPerS + round, relayTraffic);
    }
    const request: FetchTargetsRequest = {
      since: { directory: since.directory, version: since.version, subset: since.subset },
      subset,
    };
    since = query.fetchTargets(request);
    count([entryTraffic], "fetchTargets", request, since);
  }
  return {
    targetCount,
    relayCount,
    relayBytesPerS: relayTraffic.bytes / durationS / relayCount,
    relayMessagesPerS: relayTraffic.messages / durationS / relayCount,
    agentBytesPerS: agentTraffic.bytes / durationS,
    entryBytesPerS: entryTraffic.bytes / durationS,
    directoryBytes,
  };
}

function countChanges(targetCount: number, second: number): number {
  const rate = targetCount * changesPerTargetAndS;
  return Math.floor(rate * (second + 1)) - Math.floor(rate * second);
}

/** Adds a request and its response, at the size of their frames. */
function count(counted: readonly Traffic[], name: string, request: unknown, response: unknown): void {
  const bytes =
    encode([0, 1, name, request]).length + encode([1, 1, name, response]).length + 2 * frameOverheadBytes;
  for (const traffic of counted) {
    traffic.bytes += bytes;
    traffic.messages += 2;
  }
}

/** Every relay syncs with one peer. An exchange counts twice, since both sides send and receive it. */
function syncOnce(relays: readonly Directory[], round: number, traffic: Traffic): void {
  for (const [index, relay] of relays.entries()) {
    const offset = 1 + (round % (relays.length - 1));
    const peer = relays[(index + offset) % relays.length];
    relay.beat(round);
    const request = relay.createSyncRequest();
    const response = peer?.sync(request);
    if (response !== undefined) {
      relay.apply(response, round);
      count([traffic, traffic], "directorySync", request, response);
    }
  }
}

function exchangeAll(relays: readonly Directory[]): void {
  for (const relay of relays) {
    for (const peer of relays) {
      for (let more = peer !== relay; more;) {
        const response = peer.sync(relay.createSyncRequest());
        relay.apply(response, 0);
        more = response.more;
      }
    }
  }
}

/**
 * Returns the mean memory of copies of a directory. The records of each copy are decoded separately, as in a
 * relay.
 */
function measureDirectoryBytes(source: Directory | undefined): number {
  const copyCount = Math.max(1, Math.ceil(minMeasuredRecords / Math.max(1, source?.size ?? 0)));
  const copies = Array.from(
    { length: copyCount },
    (_, index) => new Directory({ origin: `copy-${index}/1` }),
  );
  const before = getUsedHeapBytes();
  for (const copy of copies) {
    for (let more = source !== undefined; more && source !== undefined;) {
      const response = source.sync(copy.createSyncRequest());
      copy.apply(decode(encode(response)) as DirectorySyncResponse, 0);
      more = response.more;
    }
  }
  const bytes = getUsedHeapBytes() - before;
  return copies.every(({ size }) => size === source?.size) ? bytes / copyCount : 0;
}

function getRelays(relays: readonly Directory[], { failureDomain }: TargetAnnouncement): Directory[] {
  const domain = Number(failureDomain.slice("fd-".length));
  return relays.slice(domain * 2, domain * 2 + 2);
}

function createTarget(index: number, incarnation: string): TargetAnnouncement {
  const group = Math.floor(index / groupSize);
  return {
    target: `runner-${index}`,
    incarnation,
    address: `10.0.${index >> 8}.${index & 255}:8000`,
    failureDomain: `fd-${group % domainCount}`,
    region: `region-${group % 5}`,
    kind: TargetKind.Engine,
    models: [`model-${group % modelCount}`],
    adapters: [],
    version: "1.4.2",
    role: TargetRole.Both,
    service: "",
    group: `group-${group}`,
    rank: index % groupSize,
    checksFencing: true,
  };
}

/** Fits a quantity to the number of targets by least squares. */
function fit(
  quantity: Exclude<keyof MembershipPoint, "targetCount" | "relayCount">,
  points: readonly MembershipPoint[],
): MembershipFit {
  return { quantity, ...fitLine(points.map((point) => ({ x: point.targetCount, y: point[quantity] }))) };
}
