/** Short notices to the nodes of other instances, over tRPC: a leaving instance, a suspected request. */
import { createTRPCClient, httpLink } from "@trpc/client";
import { maxNoticesInFlight, maxNoticesPending, noticeTimeoutMs } from "../../constants";
import { type Settings } from "../../settings/types";
import { type Address, type Instance } from "../../types";
import { type ControlRouter, type Notice } from "../control/router";
import { type Directory } from "../directory";
import { type MessageBus } from "../messages";

/** Sends a notice to one node; failures are values, since a notice may be lost. */
export interface NoticeSender {
    send(address: Address, notice: Notice): Promise<boolean>;
}

/** Sends notices over tRPC. */
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

interface Pending {
    readonly address: Address;
    readonly notice: Notice;
}

/** Decides who is told what; notices wait while many are under way, and the number of waiting ones is bounded. */
export class Notices {
    private readonly pending: Pending[] = [];
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
            ({ fingerprint }) => this.sendAll(this.listOwnService(), { kind: "suspect", fingerprint, endpoint }),
        );
        bus.subscribe("lifecycleChanged", ({ phase }) => {
            if (phase === "draining") {
                this.sendAll(directory.listCallers(), { kind: "leaving", endpoint });
            }
        });
        bus.subscribe("leavingReported", message => directory.recordLeaving(message.endpoint));
    }

    /** Whoever runs the same service may be sent the same request. */
    private listOwnService(): readonly Instance[] {
        const { endpoint, service } = this.settings;
        return this.directory.listInstances().filter(instance =>
            instance.service === service && instance.endpoint !== endpoint
        );
    }

    private sendAll(instances: readonly Instance[], notice: Notice): void {
        const room = Math.max(0, maxNoticesPending - this.pending.length);
        this.pending.push(...instances.slice(0, room).map(({ control }) => ({ address: control, notice })));
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
