// Example commands for a demonstration that keeps running.
import { fileURLToPath } from 'node:url'
import type { Cluster } from '@siskinbeam/bench/cluster/startCluster'

/** Lists example commands for a POSIX shell. */
export function listExampleCommands ({ plan, operators, operatorKey, entryHosts, servers, directory }: Cluster): string[] {
  const entry = entryHosts.find(({ process }) => process.isRunning())?.planned
  const guest = `http://${entry?.guestAddress ?? ''}`
  const command = `node ${fileURLToPath(import.meta.resolve('@siskinbeam/siskinbeamctl/runSiskinbeamctl'))}`
  return [
    `export SISKINBEAM_TABLE_ADDRESS=${plan.tableAddress} SISKINBEAM_OBJECT_STORE_ADDRESS=${plan.objectStoreAddress} SISKINBEAM_HOST_LIST_ADDRESS=${plan.hostListAddress}`,
    `export SISKINBEAM_OPERATOR_KEY=${operatorKey} SISKINBEAM_TRUSTED_KEYS=${operators.trustedKeys.join(',')}`,
    `curl -i ${guest}/.siskinbeam/addresses`,
    `curl -i ${guest}/desk/limits`,
    `curl -i -X POST -H 'idempotency-key: trial-1' -H 'siskinbeam-attempt: 1' -d permit ${guest}/issuer/permits`,
    `curl -i -X POST -H 'idempotency-key: trial-1' -H 'siskinbeam-attempt: 2' -d permit ${guest}/issuer/permits`,
    `curl -X POST -H 'content-type: application/json' -d '{"drain":true}' http://${servers[0]?.planned.controlAddress ?? ''}/control`,
    `curl -H "authorization: Bearer $SISKINBEAM_OPERATOR_KEY" http://${entry?.metricsAddress ?? ''}/metrics`,
    `${command} status`,
    `${command} bundle status`,
    `${command} bundle history`,
    `${command} dump --host ${entry?.peerAddress ?? ''}`,
    `tail -f ${directory}/${entry?.name ?? ''}.log`
  ]
}
