import { Gauge, type Registry } from "prom-client";

/** Registers a gauge that is read when the metrics are scraped. */
export const registerGauge = (registry: Registry, name: string, help: string, read: () => number): void => {
    new Gauge({
        name,
        help,
        registers: [registry],
        collect() {
            this.set(read());
        },
    });
};
