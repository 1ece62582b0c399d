const minuteMs = 60_000;
const dayMs = 86_400_000;

/** Time of day in a time zone. The offset of the zone is cached for a minute, since its lookup is slow. */
export class TimeZoneClock {
  #zone = "";
  #minute = -1;
  #offsetMs = 0;

  getTimeOfDayMs(wallMs: number, zone: string): number {
    if (zone === "UTC") {
      return wallMs % dayMs;
    }
    const minute = Math.floor(wallMs / minuteMs);
    if (zone !== this.#zone || minute !== this.#minute) {
      this.#zone = zone;
      this.#minute = minute;
      this.#offsetMs = readMinuteOfDay(minute * minuteMs, zone) * minuteMs - ((minute * minuteMs) % dayMs);
    }
    return ((wallMs % dayMs) + this.#offsetMs + dayMs) % dayMs;
  }
}

function readMinuteOfDay(wallMs: number, zone: string): number {
  const format = new Intl.DateTimeFormat("en-GB", {
    timeZone: zone,
    hour: "2-digit",
    minute: "2-digit",
    hourCycle: "h23",
  });
  const [hour = 0, minute = 0] = format.format(wallMs).split(":").map(Number);
  return hour * 60 + minute;
}
