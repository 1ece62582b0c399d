const barWidth = 40;

/** Bar chart of rank loads for the terminal; the mark shows the mean load. */
export function formatRankBars(rankLoads: ArrayLike<number>): string {
  const loads = Array.from(rankLoads);
  const highest = Math.max(...loads, 0);
  const mean = loads.length === 0 ? 0 : loads.reduce((sum, load) => sum + load, 0) / loads.length;
  if (highest === 0) {
    return "no load";
  }
  const meanColumn = Math.min(barWidth - 1, Math.round((mean / highest) * barWidth) - 1);
  const rankWidth = String(loads.length - 1).length;
  return loads
    .map((load, rank) => {
      const bar = "#".repeat(Math.round((load / highest) * barWidth)).padEnd(barWidth);
      const marked = `${bar.slice(0, meanColumn)}|${bar.slice(meanColumn + 1)}`;
      return `rank ${String(rank).padStart(rankWidth)} ${marked} ${(load / mean).toFixed(2)}`;
    })
    .join("\n");
}
