/** Settings of the generator of expert loads. */
export interface DemandSettings {
  readonly layerCount: number;
  readonly expertCount: number;
  /** Zipf exponent of the popularity of a layer's experts. */
  readonly exponent: number;
  /** Amplitude of the drift of log popularity through the day; 0 for none. */
  readonly driftAmplitude: number;
  readonly seed: number;
  /** Abrupt peak of demand in which a few experts become hotter; null for none. */
  readonly flash: {
    readonly startMs: number;
    readonly endMs: number;
    readonly expertShare: number;
    readonly factor: number;
  } | null;
}
