/** Requests with a similar expert profile, for example those of one team or service. */
export interface SteeringStream {
  readonly name: string;
  /** Load by layer and expert that the whole stream causes. */
  readonly loads: readonly Float64Array[];
  /** Share of the stream that each group gets at present; sums to 1. */
  readonly shares: readonly number[];
}
