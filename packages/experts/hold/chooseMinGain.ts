/**
 * A plan has to save at least this share of the present skew: copies have a cost and slow down all passes
 * meanwhile.
 */
const minGain = 0.2;
/**
 * Minimum while passes are fast: then a better balance does not bring more streams within their objective.
 */
const minGainWhenFast = 0.35;
/** Passes are fast up to this share of the allowed gap, so that a burst of twice the load still meets it. */
const fastPassShare = 0.55;

/**
 * Minimum gain for which experts are moved. `gapObjectiveMs` is the shortest gap that a route allows; 0 for
 * none.
 */
export function chooseMinGain(passMs: number, gapObjectiveMs: number): number {
  return passMs > 0 && passMs < gapObjectiveMs * fastPassShare ? minGainWhenFast : minGain;
}
