/** Listeners of a node for calls: from callers, from other nodes, and from the local upstream. */
import { type Server } from "node:http";
import { type Settings } from "../../settings/types";
import { type Address } from "../../types";
import { HttpCallRequest } from "../_lib/callRequest";
import { closeListener, openListener } from "../_lib/openListener";
import { type Egress } from "../egress";
import { type Ingress } from "../ingress";

/** Owns the sockets over which calls come in. */
export class Listeners {
    private ingressServers: readonly Server[] = [];
    private egressServer: Server | undefined;

    constructor(
        private readonly addresses: Settings["listen"],
        private readonly ingress: Ingress,
        private readonly egress: Egress,
    ) {}

    async start(): Promise<void> {
        const { callers, peers, egress } = this.addresses;
        this.ingressServers = await Promise.all([
            this.openIngress(peers, "peer"),
            ...(callers ? [this.openIngress(callers, "caller")] : []),
        ]);
        this.egressServer = await openListener(
            egress,
            (request, response) => this.egress.handle(new HttpCallRequest(request, response)),
        );
    }

    /** Closes the listeners for new work; calls that the upstream makes still pass. */
    async stopIngress(): Promise<void> {
        await Promise.all(this.ingressServers.map(closeListener));
    }

    async stopEgress(): Promise<void> {
        if (this.egressServer) {
            await closeListener(this.egressServer);
        }
    }

    private openIngress(address: Address, origin: "caller" | "peer"): Promise<Server> {
        return openListener(
            address,
            (request, response) => this.ingress.handle(new HttpCallRequest(request, response), origin),
        );
    }
}
