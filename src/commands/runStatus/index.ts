/** Shows the policy version, the state and the load of each node. */
import { type NodeStatus } from "../../tasks/control/router";
import { type NodeAddress, type NodeAnswer, queryNodes } from "../_lib/queryNodes";
import { renderTable } from "../_lib/renderTable";
import { createSuccess, formatJson } from "../_lib/results";
import { type CommandResult } from "../types";

const headings = [
    "DOMAIN",
    "ENDPOINT",
    "PHASE",
    "VERSION",
    "DIGEST",
    "AGE",
    "SOURCE",
    "CONFIRMED",
    "PLATFORM",
    "RUNNING",
    "LIMIT",
    "QUEUE",
    "REFUSED",
];
const shownDigestDigits = 8;

const formatAge = (ageMs: number): string => `${Math.round(ageMs / 1_000)}s`;

const formatRefusals = (refusals: Readonly<Record<string, number>>): string => {
    const entries = Object.entries(refusals).map(([reason, count]) => `${reason}:${count}`);
    return entries.length === 0 ? "-" : entries.join(" ");
};

const listStatusCells = (status: NodeStatus): readonly (string | number)[] => [
    status.failureDomain,
    status.endpoint,
    status.phase,
    status.policyVersion,
    status.policyDigest.slice(0, shownDigestDigits) || "-",
    formatAge(status.policyAgeMs),
    status.policySource || "-",
    status.policyConfirmed ? "yes" : "unconfirmed",
    status.platformReached ? "reached" : "lost",
    status.inFlight,
    Math.floor(status.limit),
    status.queued,
    formatRefusals(status.refusals),
];

const compareAnswers = (first: NodeAnswer<NodeStatus>, second: NodeAnswer<NodeStatus>): number =>
    first.node.endpoint.localeCompare(second.node.endpoint);

const listAnswerCells = (answer: NodeAnswer<NodeStatus>): readonly (string | number)[] =>
    answer.reached
        ? listStatusCells(answer.value)
        : [
            "?",
            answer.node.endpoint,
            "unreachable",
            ...Array.from({ length: headings.length - 4 }, () => "-"),
            answer.detail,
        ];

/** Renders the answers as a table with one row per node, sorted by endpoint. */
export const renderStatus = (answers: readonly NodeAnswer<NodeStatus>[]): string =>
    renderTable(headings, [...answers].sort(compareAnswers).map(listAnswerCells));

/** Queries the status of all nodes and renders it as a table or as JSON. */
export const runStatus = async (nodes: readonly NodeAddress[], json: boolean): Promise<CommandResult> => {
    const answers = await queryNodes(nodes, (client, signal) => client.status.query(undefined, { signal }));
    return createSuccess(json ? formatJson(answers) : renderStatus(answers));
};
