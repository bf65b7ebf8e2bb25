import { type Clock } from "../tasks/_lib/clock";
import { type TimerWheel } from "../tasks/_lib/timerWheel";
import { deriveLinkAddress } from "./_lib/deriveAddresses";
import { type EventLog } from "./log";
import { Peers } from "./peers";
import { type ActiveRouting } from "./routing";
import { type FleetSource } from "./source";
import { type RelaySettings } from "./types";
import { type UpstreamDirectory } from "./upstreamDirectory";
import { type ViewSync } from "./viewSync";

/** Components of a node that learn from the messages of other nodes. */
export interface PeerListeners {
    readonly clock: Clock;
    readonly wheel: TimerWheel;
    readonly routing: ActiveRouting;
    readonly viewSync: ViewSync;
    readonly source: FleetSource;
    readonly directory: UpstreamDirectory;
    readonly log: EventLog;
}

/** Creates the connections to other nodes, and passes what their messages tell to the components of the node. */
export const createPeers = (
    { peers }: RelaySettings,
    { clock, wheel, routing, viewSync, source, directory, log }: PeerListeners,
): Peers =>
    new Peers({
        clock,
        wheel,
        httpPort: peers.port,
        linkPort: deriveLinkAddress(peers).port,
        readVersion: () => routing.version,
        onReport: (host, { version, tableAgeMs }, askedAt) => {
            viewSync.observe(host, version);
            source.recordTableEvidence({ version, askedAt, ageMs: tableAgeMs });
        },
        onFrameFailed: error => log.writeFailure("frame-failed", error),
        onUnresponsive: (host, ids) => {
            ids.forEach(id => directory.recordFailure(id));
            log.write("node-silent", { host, upstreams: ids.join(",") });
        },
    });
