import { createPolicyLog } from "../../policy/createPolicyLog";
import { patchPolicyLog } from "../../policy/patchPolicyLog";
import { type PolicyLog } from "../../policy/types";
import { createPolicy } from "../../testing/createPolicy";
import { VirtualClock } from "../../testing/virtualClock";
import { createInstances, createSettings } from "../../testing/virtualGraph";
import { type VersionReport } from "../control/router";
import { Directory } from "../directory";
import { type AuditEvent, MessageBus } from "../messages";
import { PolicyTask } from "../policy";
import { type PolicyPeer, PolicySync } from "./index";

const metadata = { author: "test", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), metadata);
    if (!created.ok) {
        throw new Error("the fixture is not a policy");
    }
    return created.value;
};

const patchRetryLimit = (log: PolicyLog, version: number, value: number): PolicyLog => {
    const patched = patchPolicyLog(log, version, [{ op: "replace", path: "/retryLimit", value }], metadata);
    if (!patched.ok) {
        throw new Error(JSON.stringify(patched.faults));
    }
    return patched.value;
};

interface FakeNode {
    readonly policy: PolicyTask;
    readonly sync: PolicySync;
    readonly bus: MessageBus;
    readonly audits: AuditEvent[];
    readonly readLog: (log: PolicyLog) => void;
}

/** Client that reads the policy of `remote`; its queries fail if that is undefined. */
class FakePeer implements PolicyPeer {
    remote: FakeNode | undefined;

    readVersion(): Promise<VersionReport | undefined> {
        const inForce = this.remote?.policy.inForce;
        const report = { endpoint: "desk-b", version: inForce?.version ?? 0, digest: inForce?.digest ?? "" };
        return Promise.resolve(this.remote && report);
    }

    readLog(): Promise<string | undefined> {
        return Promise.resolve(this.remote?.policy.logText);
    }
}

const createNode = (peer: FakePeer): FakeNode => {
    const clock = new VirtualClock();
    const bus = new MessageBus();
    const policy = new PolicyTask(bus, clock.readWallMs);
    const directory = new Directory(clock);
    const settings = createSettings("desk-a", "desk", "zone-a", 0);
    directory.updateInstances(createInstances([settings, createSettings("desk-b", "desk", "zone-b", 1)]));
    const audits: AuditEvent[] = [];
    bus.subscribe("audited", message => audits.push(message.audit));
    const sync = new PolicySync({ settings, directory, policy, peer, bus, sampleRandom: () => 0.5 });
    const readLog = (log: PolicyLog): void =>
        bus.publish({ kind: "policyLogRead", text: JSON.stringify(log), revision: 1, source: "platform" });
    return { policy, sync, bus, audits, readLog };
};

describe("PolicySync", () => {
    it("adopts a higher version of another node, even if the platform returns a stale version or none", async () => {
        const first = createLog();
        const second = patchRetryLimit(first, 1, 1);
        const peer = new FakePeer();
        peer.remote = createNode(new FakePeer());
        peer.remote.readLog(second);

        const newNode = createNode(peer);
        await newNode.sync.compareOnce();
        expect(newNode.policy.inForce?.version).toBe(2);
        expect(newNode.policy.source).toBe("peer desk-b");

        const replacement = createNode(peer);
        replacement.readLog(first);
        expect([replacement.policy.inForce?.version, replacement.sync.isConfirmed()]).toEqual([1, false]);
        await replacement.sync.compareOnce();
        replacement.readLog(first);
        expect(replacement.policy.inForce?.version).toBe(2);
        await replacement.sync.compareOnce();
        expect(replacement.sync.isConfirmed()).toBe(true);
    });

    it("propagates a version from node to node", async () => {
        const peers = [new FakePeer(), new FakePeer(), new FakePeer()];
        const nodes = peers.map(createNode);
        nodes[0]!.readLog(patchRetryLimit(createLog(), 1, 1));
        peers[1]!.remote = nodes[0]!;
        peers[2]!.remote = nodes[1]!;
        await nodes[1]!.sync.compareOnce();
        await nodes[2]!.sync.compareOnce();
        expect(nodes[2]!.policy.inForce?.version).toBe(2);
    });

    it("keeps its version and records a fork if another node has a different version of the same number", async () => {
        const first = createLog();
        const peer = new FakePeer();
        peer.remote = createNode(new FakePeer());
        peer.remote.readLog(patchRetryLimit(first, 1, 1));
        const node = createNode(peer);
        node.readLog(patchRetryLimit(first, 1, 2));
        const previousDigest = node.policy.inForce!.digest;
        await node.sync.compareOnce();
        expect(node.policy.inForce!.digest).toBe(previousDigest);
        expect(node.audits.map(audit => audit.event)).toContain("policy-fork");
    });

    it("stays unconfirmed and keeps its version while it can't reach another node", async () => {
        const node = createNode(new FakePeer());
        node.readLog(createLog());
        await node.sync.compareOnce();
        expect([node.policy.inForce?.version, node.sync.isConfirmed()]).toEqual([1, false]);
    });
});
