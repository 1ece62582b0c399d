interface CopyCost {
  /** Size of an expert's weights, in MB. */
  readonly expertMb: number;
  /** Rate at which a rank copies weights, in Mbit/s. */
  readonly linkMbps: number;
}

/** Longest time for which ranks copy experts for one plan: all passes are slower meanwhile. */
const maxCopyMs = 450;
/** The same while streams are late: the first copies save most of the time, so the map must be in force soon. */
const maxUrgentCopyMs = 120;
const bitsPerByte = 8;

/** Most new experts on a rank in one plan, over all layer sets. */
export function chooseMaxNewPerRank({ expertMb, linkMbps }: CopyCost, isUrgent: boolean): number {
  const copyMs = (expertMb * bitsPerByte * 1000) / linkMbps;
  return Math.max(1, Math.floor((isUrgent ? maxUrgentCopyMs : maxCopyMs) / copyMs));
}
