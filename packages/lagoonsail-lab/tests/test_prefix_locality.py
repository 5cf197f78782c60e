from __future__ import annotations

from lagoonsail_core.green import eventlet
from lagoonsail_lab.caller import Balancer, Caller, make_prompt
from lagoonsail_lab.deployments import make_cordero
from lagoonsail_lab.fleet import Fleet
from lagoonsail_lab.prefix_locality import (
    PROMPT_CHARACTERS,
    make_conversations,
    read_blocks,
)
from lagoonsail_sharing.prefix_index import BLOCK_CHARACTERS
from lagoonsail_standins.engine_reports import CACHE_BLOCKS

ACCOUNTS = ("prensa", "federacion", "resultados")
ROUNDS = 4
REPORT_LAG_S = 1.5


def test_calls_of_a_conversation_go_to_the_engine_that_caches_its_prompt():
    """Only the first calls miss, although no single engine can cache all prompts."""
    deployment = make_cordero(2, 4, 1)
    service = deployment.find("asistente")
    service.options.update(token_ms=1, first_ms=1, warm_after=0)
    texts = [text for name in ACCOUNTS for text in make_conversations(name)]
    with Fleet([deployment]) as fleet:
        balancer = Balancer({n: (r.callers, r.admin) for n, r in fleet.routers.items()})
        caller = Caller(balancer)
        for number in range(ROUNDS):
            for text in texts:
                prompt = f"{text} {number}"
                call = make_prompt("cordero", "asistente", "prensa", 2, True, prompt)
                assert caller.make(call).is_whole
        eventlet.sleep(REPORT_LAG_S)
        balancer.stop()
        queried_blocks, cached_blocks = read_blocks(fleet)
    assert (
        queried_blocks / (ROUNDS * len(texts)) * BLOCK_CHARACTERS >= PROMPT_CHARACTERS
    )
    assert queried_blocks / ROUNDS > CACHE_BLOCKS
    assert cached_blocks / queried_blocks >= (ROUNDS - 1) / ROUNDS
