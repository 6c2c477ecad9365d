"""Guards against bursts of load orders and against spares that move with every change in load."""

import pytest
from parsleyrudder import (
    EngineState,
    ModelSpec,
    Order,
    OrderRules,
    Placement,
    PlacementState,
    Reconciler,
    SparePlanner,
)

OLD, NEW = ModelSpec("chat", "1"), ModelSpec("chat", "2")
IDLE = EngineState(OLD)


@pytest.mark.parametrize(
    ("states", "expected"),
    [
        ({"e1": IDLE, "e2": IDLE}, ["e1"]),
        ({"e1": EngineState(NEW), "e2": IDLE}, ["e2"]),
        ({"e1": EngineState(OLD, loading=NEW), "e2": IDLE}, []),
        ({"e1": EngineState(NEW), "e2": EngineState(NEW)}, []),
        ({"e2": IDLE}, ["e2"]),
        ({}, []),
    ],
)
def test_engines_are_reloaded_one_at_a_time(states, expected):
    orders = Reconciler().due_orders({"e1": NEW, "e2": NEW}, states, 7, 100.0)
    assert orders == [Order(server, 7, NEW) for server in expected]


def test_order_without_effect_is_sent_again_after_a_delay():
    reconciler = Reconciler()
    wanted, states = {"e1": NEW}, {"e1": IDLE}
    counts = [
        len(reconciler.due_orders(wanted, states, 1, now)) for now in (0.0, 5.0, 9.9, 10.0, 15.0)
    ]
    assert counts == [1, 0, 0, 1, 0]


def test_load_starts_stay_within_the_weight_store_rate():
    reconciler = Reconciler(OrderRules(loads_per_minute=3, loads_at_once=100))
    servers = {f"e{i}": NEW for i in range(9)}
    states = dict.fromkeys(servers, IDLE)
    counts = [len(reconciler.due_orders(servers, states, 1, now)) for now in (0.0, 30.0, 60.0)]
    assert counts == [3, 0, 3]


def run_planner(planner, rows, backlog_by_pool, times, state=None):
    """Run the planner at each time, apply its moves to the rows, and return the moves per time."""
    wanted = {"a": ModelSpec("a"), "b": ModelSpec("b")}
    state = state or {}
    result = []
    for now in times:
        for pool, backlog in backlog_by_pool.items():
            planner.on_backlog(pool, backlog, now)
        moves = planner.plan_moves(rows, state, wanted, now)
        rows.update((move.server, move.new) for move in moves)
        result.append([(move.server, move.new.pool, move.new.state) for move in moves])
    return result


@pytest.mark.parametrize(
    ("row", "backlogs", "expected"),
    [
        (Placement(), {"a": 2.0, "b": 0.0}, [("s", "a", PlacementState.LOADING)]),
        (Placement("b"), {"a": 2.0, "b": 0.0}, [("s", "b", PlacementState.DRAINING)]),
        (Placement("b"), {"a": 2.0, "b": 0.5}, []),
        (Placement("a"), {"a": 2.0, "b": 0.0}, []),
        (Placement("b"), {"a": 0.5, "b": 0.0}, []),
    ],
)
def test_spare_moves_to_a_pool_with_high_backlog_but_not_away_from_a_busy_pool(
    row, backlogs, expected
):
    planner, rows = SparePlanner(), {"s": row}
    moves = run_planner(planner, rows, backlogs, range(0, 200, 5))
    assert [move for moves_at_time in moves for move in moves_at_time][:1] == expected


def test_short_backlog_peak_moves_no_spare():
    planner, rows = SparePlanner(), {"s": Placement()}
    run_planner(planner, rows, {"a": 2.0}, range(0, 15, 5))
    assert run_planner(planner, rows, {"a": 0.5}, range(15, 100, 5)) == [[]] * 17
    assert run_planner(planner, rows, {"a": 2.0}, range(100, 115, 5)) == [[]] * 3


def test_move_waits_for_running_calls_and_for_the_model_load():
    planner = SparePlanner()
    rows = {"s": Placement("b", PlacementState.DRAINING, "a")}
    busy = {"s": EngineState(ModelSpec("b"), running=1)}
    idle = {"s": EngineState(ModelSpec("b"))}
    done = {"s": EngineState(ModelSpec("a"))}
    assert run_planner(planner, rows, {}, [0], busy) == [[]]
    assert run_planner(planner, rows, {}, [1], idle) == [[("s", "a", PlacementState.LOADING)]]
    assert run_planner(planner, rows, {}, [2], idle) == [[]]
    assert run_planner(planner, rows, {}, [3], done) == [[("s", "a", PlacementState.SERVING)]]
