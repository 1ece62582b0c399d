/** Size of a modelled request by its number of events. */
export enum SizeClass {
  Short = "short",
  Medium = "medium",
  Long = "long",
}
