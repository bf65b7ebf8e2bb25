import { Gauge, type Registry } from "prom-client";

/** Registers a gauge whose value is read whenever the metrics are scraped. */
export const registerGauge = (registry: Registry, name: string, help: string, readValue: () => number): void => {
    new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(readValue());
        },
    });
};
