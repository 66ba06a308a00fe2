// The response to bytes that are no valid request, written directly to the connection.
import { STATUS_CODES } from 'node:http'
import { findRejectionCode } from '@siskinbeam/message-heads/findRejectionCode'
import type { Rejection } from '@siskinbeam/message-heads/guardServer'
import { describeResultCode } from '@siskinbeam/result-codes/describeResultCode'
import { Outcome, ResultCode } from '@siskinbeam/result-codes/resultCode'

/** Node's error for a request that has not arrived completely in time. It was not run. */
const requestTimeoutError = 'ERR_HTTP_REQUEST_TIMEOUT'
const requestTimeoutStatus = 408

/** Formats the response to bytes that are no valid request. Nothing of them was run. */
export function formatRejection (rejection: Rejection): string {
  const code = findRejectionCode(rejection)
  const { status: codeStatus = 400, meaning } = describeResultCode(code)
  const isTimeout = rejection.parserError === requestTimeoutError
  const status = isTimeout ? requestTimeoutStatus : codeStatus
  const body = isTimeout ? '' : JSON.stringify({ code, name: ResultCode[code], outcome: Outcome.NotRun, meaning })
  return [`HTTP/1.1 ${status} ${STATUS_CODES[status] ?? ''}`, 'content-type: application/json', `content-length: ${Buffer.byteLength(body)}`, 'connection: close', '', body].join('\r\n')
}
