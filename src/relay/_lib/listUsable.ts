import { type UpstreamRecord } from "../../routing/types";

/**
 * Lists the upstreams that may get requests. A few missing upstreams of a service may have left, and are not used. If most
 * of a service are missing, an outage of the store has let their entries lapse, and they are.
 */
export const listUsable = (records: readonly UpstreamRecord[]): readonly UpstreamRecord[] => {
    const bornAtMsByAddress = new Map<string, number>();
    records.forEach(({ host, port, bornAtMs }) => {
        const address = `${host}:${port}`;
        bornAtMsByAddress.set(address, Math.max(bornAtMs, bornAtMsByAddress.get(address) ?? -Infinity));
    });
    // The record of an upstream that has ended without notice is listed until it expires.
    const isAddressTaken = ({ host, port, bornAtMs }: UpstreamRecord): boolean =>
        bornAtMsByAddress.get(`${host}:${port}`)! > bornAtMs;
    const candidates = records.filter(record => record.state !== "draining" && !isAddressTaken(record));
    const missingSurpluses = new Map<string, number>();
    candidates.forEach(({ service, state }) => {
        missingSurpluses.set(service, (missingSurpluses.get(service) ?? 0) + (state === "missing" ? 1 : -1));
    });
    return candidates.filter(({ service, state }) => state === "ready" || missingSurpluses.get(service)! > 0);
};
