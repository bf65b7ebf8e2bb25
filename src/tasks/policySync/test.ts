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

const note = { author: "aida", time: "2026-01-01T00:00:00.000Z", reason: "test" };

const createLog = (): PolicyLog => {
    const created = createPolicyLog(createPolicy(), note);
    if (!created.ok) {
        throw new Error("the fixture is not a policy");
    }
    return created.value;
};

const patchRetries = (log: PolicyLog, version: number, value: number): PolicyLog => {
    const patched = patchPolicyLog(log, version, [{ op: "replace", path: "/retryLimit", value }], note);
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

/** A peer that answers with what another node has, or nothing when it is cut off. */
class FakePeer implements PolicyPeer {
    asked: FakeNode | undefined;

    readVersion(): Promise<VersionReport | undefined> {
        const inForce = this.asked?.policy.inForce;
        const report = { endpoint: "desk-b", version: inForce?.version ?? 0, digest: inForce?.digest ?? "" };
        return Promise.resolve(this.asked && report);
    }

    readLog(): Promise<string | undefined> {
        return Promise.resolve(this.asked?.policy.logText);
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
    it("takes a higher version from another node, also when the platform shows a stale one or none", async () => {
        const first = createLog();
        const second = patchRetries(first, 1, 1);
        const peer = new FakePeer();
        peer.asked = createNode(new FakePeer());
        peer.asked.readLog(second);

        const fresh = createNode(peer);
        await fresh.sync.runOnce();
        expect(fresh.policy.inForce?.version).toBe(2);
        expect(fresh.policy.source).toBe("peer desk-b");

        const replaced = createNode(peer);
        replaced.readLog(first);
        expect([replaced.policy.inForce?.version, replaced.sync.isConfirmed()]).toEqual([1, false]);
        await replaced.sync.runOnce();
        replaced.readLog(first);
        expect(replaced.policy.inForce?.version).toBe(2);
        await replaced.sync.runOnce();
        expect(replaced.sync.isConfirmed()).toBe(true);
    });

    it("passes a version on from node to node", async () => {
        const peers = [new FakePeer(), new FakePeer(), new FakePeer()];
        const nodes = peers.map(createNode);
        nodes[0]!.readLog(patchRetries(createLog(), 1, 1));
        peers[1]!.asked = nodes[0]!;
        peers[2]!.asked = nodes[1]!;
        await nodes[1]!.sync.runOnce();
        await nodes[2]!.sync.runOnce();
        expect(nodes[2]!.policy.inForce?.version).toBe(2);
    });

    it("keeps its version and reports a fork when another node has a different one of the same number", async () => {
        const first = createLog();
        const peer = new FakePeer();
        peer.asked = createNode(new FakePeer());
        peer.asked.readLog(patchRetries(first, 1, 1));
        const node = createNode(peer);
        node.readLog(patchRetries(first, 1, 2));
        const before = node.policy.inForce!.digest;
        await node.sync.runOnce();
        expect(node.policy.inForce!.digest).toBe(before);
        expect(node.audits.map(audit => audit.event)).toContain("policy-fork");
    });

    it("stays unconfirmed and keeps its version while it is cut off", async () => {
        const node = createNode(new FakePeer());
        node.readLog(createLog());
        await node.sync.runOnce();
        expect([node.policy.inForce?.version, node.sync.isConfirmed()]).toEqual([1, false]);
    });
});
