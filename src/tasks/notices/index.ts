/** Sends notices to other nodes: this instance is leaving, or a request is suspected of crashing upstreams. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { maxNoticesInFlight, maxNoticesPending, noticeTimeoutMs } from "../../constants";
import { type Settings } from "../../settings/types";
import { type Address, type Instance } from "../../types";
import { type ControlRouter, type Notice } from "../control/router";
import { type Directory } from "../directory";
import { type MessageBus } from "../messages";

/** Client that sends notices; delivery is best effort. */
export interface NoticeSender {
    /** Sends a notice to one node. Resolves with whether the node accepted it; never rejects. */
    send(address: Address, notice: Notice): Promise<boolean>;
}

/** Sends notices over tRPC; each attempt times out after `noticeTimeoutMs`. */
export class TrpcNoticeSender implements NoticeSender {
    async send(address: Address, notice: Notice): Promise<boolean> {
        const url = `http://${address.host}:${address.port}/trpc`;
        const client = createTRPCClient<ControlRouter>({ links: [httpLink({ url })] });
        try {
            await client.notice.mutate(notice, { signal: AbortSignal.timeout(noticeTimeoutMs) });
            return true;
        }
        catch {
            return false;
        }
    }
}

interface PendingNotice {
    readonly address: Address;
    readonly notice: Notice;
}

/**
 * Notifies the other instances of the service of suspected requests, and recent callers that this node is leaving.
 * At most `maxNoticesInFlight` are sent at once and `maxNoticesPending` wait; further notices are dropped.
 */
export class Notices {
    private readonly pending: PendingNotice[] = [];
    private inFlight = 0;

    constructor(
        private readonly settings: Settings,
        private readonly directory: Directory,
        private readonly sender: NoticeSender,
        bus: MessageBus,
    ) {
        const { endpoint } = settings;
        bus.subscribe(
            "suspectFound",
            ({ fingerprint }) =>
                this.sendAll(this.listSameServiceInstances(), { kind: "suspect", fingerprint, endpoint }),
        );
        bus.subscribe("lifecycleChanged", ({ phase }) => {
            if (phase === "draining") {
                this.sendAll(directory.listCallers(), { kind: "leaving", endpoint });
            }
        });
        bus.subscribe("leavingReported", message => directory.recordLeaving(message.endpoint));
    }

    /** Lists the other instances of this service, which may receive the suspected request as well. */
    private listSameServiceInstances(): readonly Instance[] {
        const { endpoint, service } = this.settings;
        return this.directory.listInstances().filter(instance =>
            instance.service === service && instance.endpoint !== endpoint
        );
    }

    private sendAll(instances: readonly Instance[], notice: Notice): void {
        const freeCapacity = Math.max(0, maxNoticesPending - this.pending.length);
        this.pending.push(...instances.slice(0, freeCapacity).map(({ control }) => ({ address: control, notice })));
        this.sendPending();
    }

    private sendPending(): void {
        while (this.inFlight < maxNoticesInFlight && this.pending.length > 0) {
            const { address, notice } = this.pending.shift()!;
            this.inFlight += 1;
            void this.sender.send(address, notice).finally(() => {
                this.inFlight -= 1;
                this.sendPending();
            });
        }
    }
}
