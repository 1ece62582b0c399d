import { OrderOutcome } from "./OrderOutcome";

/** Maps a rank's confirmation to an outcome; null means that there was no response. */
export function getOrderOutcome(isConfirmed: boolean | null): OrderOutcome {
  if (isConfirmed === null) {
    return OrderOutcome.NoAnswer;
  }
  return isConfirmed ? OrderOutcome.Confirmed : OrderOutcome.Refused;
}
