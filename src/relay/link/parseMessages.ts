/** Checks the fields of frames before they are used. Another node may run another version, or none of this program. */
import { isMissing } from "../../_lib/isMissing";
import { type AnswerHead } from "../../tasks/_lib/answerSink";
import { type HopRequest } from "../types";

/** Parts of a request that are sent as fields of its frame. */
export type RequestMessage = Pick<HopRequest, "requestId" | "method" | "path" | "rawHeaders" | "body">;

const minStatus = 200;
const maxStatus = 999;
/** Matches a method and a request target that can be written in a request line. */
const token = /^[!#$%&'*+.^_`|~0-9A-Za-z-]+$/u;
const target = /^[!-~\u0080-\u00ff]+$/u;

const isHeaderList = (value: unknown): value is readonly string[] =>
    Array.isArray(value) && value.length % 2 === 0 && value.every(item => typeof item === "string");

/** Parses the fields of a request frame after the hop fields; returns undefined if one of them is invalid. */
export const parseRequestMessage = (fields: readonly unknown[]): RequestMessage | undefined => {
    const [requestId, method, path, rawHeaders, body] = fields;
    if (typeof requestId !== "string" || typeof method !== "string" || typeof path !== "string") {
        return undefined;
    }
    if (!token.test(method) || !target.test(path) || !isHeaderList(rawHeaders)) {
        return undefined;
    }
    if (isMissing(body)) {
        return { requestId, method, path, rawHeaders, body: undefined };
    }
    return Buffer.isBuffer(body) ? { requestId, method, path, rawHeaders, body } : undefined;
};

/** Parses the status and the headers of an answer; returns undefined if one of them is invalid. */
export const parseAnswerHead = (status: unknown, rawHeaders: unknown): AnswerHead | undefined => {
    const isStatus = typeof status === "number" && Number.isInteger(status) && status >= minStatus
        && status <= maxStatus;
    return isStatus && isHeaderList(rawHeaders) ? { status, rawHeaders } : undefined;
};
