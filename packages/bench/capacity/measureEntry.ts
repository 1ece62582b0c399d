import { fitLine } from "../fitLine";
import type { Slope } from "./Slope";
import { runEntry } from "./runEntry";

type Points = { x: number; y: number }[];

const targetCounts = [50, 200, 400, 800] as const;
const entryCounts = [50, 100, 200, 350] as const;
const fleetTargetCounts = [1500, 3000, 6000, 12_000] as const;
const designEntryCount = 350;
const measureMs = 4000;

/** Measures the slopes of an idle entry in a process of its own. The relay and agents run in this process. */
export async function measureEntry(programs: string): Promise<Slope[]> {
  return [
    ...(await measureIdle(programs, "target", targetCounts, (count) => [count, 1])),
    ...(await measureIdle(programs, "entry", entryCounts, (count) => [10, count])),
    ...(await measureIdle(
      programs,
      "fleetTarget",
      fleetTargetCounts,
      (count) => [count, designEntryCount],
      3,
    )),
  ];
}

/** Measures the resource usage of an idle entry by the number of targets or entries in its directory. */
async function measureIdle(
  programs: string,
  item: string,
  sizes: readonly number[],
  getCounts: (size: number) => readonly [number, number],
  subsetGroups?: number,
): Promise<Slope[]> {
  const cores: Points = [];
  const bytes: Points = [];
  const resident: Points = [];
  for (const x of sizes) {
    const [targetCount, entryCount] = getCounts(x);
    await runEntry({ programs, targetCount, entryCount, subsetGroups }, async (entry) => {
      const use = await entry.measureResourceUsage(measureMs);
      cores.push({ x, y: use.coreShare });
      bytes.push({ x, y: use.readBytesPerS + use.writtenBytesPerS });
      resident.push({ x, y: use.residentBytes });
    });
  }
  return [
    toSlope(`entry.restCoreBy_${item}`, `cores/${item} known`, cores),
    toSlope(`entry.restBytesBy_${item}`, `B/s/${item} known, read and written`, bytes),
    toSlope(`entry.restResidentBy_${item}`, `B/${item} known`, resident),
  ];
}

function toSlope(name: string, unit: string, points: Points): Slope {
  return { name, unit, points, ...fitLine(points) };
}
