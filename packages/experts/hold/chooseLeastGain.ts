/** Least share of the present skew that a plan has to save: copies are priced, and slow all passes meanwhile. */
const usualGain = 0.2;
/** The same while passes are quick, when a finer balance brings no stream in on time. */
const quickGain = 0.35;
/** Share of the allowed pause up to which passes are quick; a burst that doubles the load still keeps within the pause. */
const quickShare = 0.55;

/** Least gain for which experts are moved. `gapObjectiveMs` is the shortest pause that a route allows, 0 without one. */
export function chooseLeastGain(passMs: number, gapObjectiveMs: number): number {
  return passMs > 0 && passMs < gapObjectiveMs * quickShare ? quickGain : usualGain;
}
